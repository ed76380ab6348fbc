/** Limits on accepted work: fair queues, adaptive concurrency limits and early rejection. */
package io.yuccaswitch.core.limit;
