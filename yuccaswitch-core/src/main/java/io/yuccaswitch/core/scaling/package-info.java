/** How many endpoints a pool has in each availability zone, where the cloud can be asked for more or fewer. */
package io.yuccaswitch.core.scaling;
