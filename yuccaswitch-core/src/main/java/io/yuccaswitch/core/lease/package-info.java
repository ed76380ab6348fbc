/** Leases on the platform with fencing numbers, for work that must have one holder. */
package io.yuccaswitch.core.lease;
