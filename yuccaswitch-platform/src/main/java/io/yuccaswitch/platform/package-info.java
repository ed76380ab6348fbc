/**
 * The client of the platform's object API: it executes the decision core's calls within rate limits, never retries a
 * write without checking its effect, and stops calls while the platform is failing.
 */
package io.yuccaswitch.platform;
