/** Suspensions of the VM, during which its monotonic clock stops. */
package io.yuccaswitch.core.suspension;
