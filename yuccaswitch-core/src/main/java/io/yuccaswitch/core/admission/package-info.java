/** Decisions on plain requests that compete for the slots of a pool: queueing, shares, refusals and retry times. */
package io.yuccaswitch.core.admission;
