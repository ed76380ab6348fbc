/** Monotonic time as a value. */
package io.yuccaswitch.core.time;
