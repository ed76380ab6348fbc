/** Batch jobs: many items that are submitted at once, run later, and listed in one order that never changes. */
package io.yuccaswitch.core.batch;
