/** Limits on the work that is taken: fair queues, adaptive concurrency and early refusal. */
package io.yuccaswitch.core.limit;
