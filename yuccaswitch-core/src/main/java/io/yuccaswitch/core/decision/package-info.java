/**
 * The frame of the decision core: events go in, effects and explained decisions come out. Nothing here does input or
 * output, reads a clock or starts a thread.
 */
package io.yuccaswitch.core.decision;
