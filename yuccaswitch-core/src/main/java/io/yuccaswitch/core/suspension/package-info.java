/** Times for which the machine was suspended, which its monotonic clock does not count. */
package io.yuccaswitch.core.suspension;
