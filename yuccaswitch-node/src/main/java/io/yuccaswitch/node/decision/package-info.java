/** The loop that runs the decision core, and the log of its decisions. */
package io.yuccaswitch.node.decision;
