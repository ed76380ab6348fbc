/**
 * The duties that one node has at a time: orders to endpoints, and calls to the cloud. One lease with a fencing number
 * serves them all, so that no duty has a mechanism, calls to the platform, or rules of succession of its own.
 */
package io.yuccaswitch.core.duty;
