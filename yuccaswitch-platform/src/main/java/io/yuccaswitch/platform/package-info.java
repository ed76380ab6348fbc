/** The client of the platform object API. */
package io.yuccaswitch.platform;
