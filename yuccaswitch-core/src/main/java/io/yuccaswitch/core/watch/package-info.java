/** Watches of the platform that a few nodes keep for all: the others follow them over the protocol between nodes. */
package io.yuccaswitch.core.watch;
