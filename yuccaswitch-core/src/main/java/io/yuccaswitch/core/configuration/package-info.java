/** The fleet's configuration as immutable values, and the annotations that describe its bounds. */
package io.yuccaswitch.core.configuration;
