/**
 * Batch jobs: sets of items that are submitted together, run asynchronously, and listed in an order that never changes.
 */
package io.yuccaswitch.core.batch;
