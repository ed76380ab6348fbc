/** Decodes the generations of the configuration and stores their snapshot on disk. */
package io.yuccaswitch.node.configuration;
