/**
 * Samples for trainers: groups from their submission to their hand-over, with labels that engines reported, a schedule
 * over shared engines, and cursors that make each slot reach its trainer exactly once.
 */
package io.yuccaswitch.core.sample;
