/**
 * The duties that one node at a time performs: orders to endpoints, and calls to the cloud. All of them share one lease
 * with a fencing number, so that no duty needs its own mechanism, platform calls or succession rules.
 */
package io.yuccaswitch.core.duty;
