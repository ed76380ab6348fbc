/** Scales the number of endpoints of a pool in each availability zone, where the cloud supports it. */
package io.yuccaswitch.core.scaling;
