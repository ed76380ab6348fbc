/** Watches at the platform that a few nodes run for all: the others follow them with messages between nodes. */
package io.yuccaswitch.core.watch;
