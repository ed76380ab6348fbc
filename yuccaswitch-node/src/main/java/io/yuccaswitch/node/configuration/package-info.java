/** The shell of the configuration: decoding of generations, and their snapshot on disk. */
package io.yuccaswitch.node.configuration;
