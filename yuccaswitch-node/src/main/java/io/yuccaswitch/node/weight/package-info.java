/** The status of leases and of the weights that this node distributes to engines. */
package io.yuccaswitch.node.weight;
