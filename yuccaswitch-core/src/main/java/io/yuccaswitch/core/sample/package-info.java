/**
 * Samples for trainers: the processing of groups from their submission to their hand-over, with the weight versions
 * that engines report as labels, a schedule for shared engines, and cursors by which each slot is delivered to its
 * trainer exactly once.
 */
package io.yuccaswitch.core.sample;
