/**
 * The framework of the decision core, which processes events into effects and decisions. It performs no input or
 * output, reads no clock and starts no threads.
 */
package io.yuccaswitch.core.decision;
