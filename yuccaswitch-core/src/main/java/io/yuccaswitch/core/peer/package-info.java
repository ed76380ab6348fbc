/** The messages between nodes in the decision core, with the events and effects that carry them. */
package io.yuccaswitch.core.peer;
