/** What operators see of leases and of the weights that this node brings to engines. */
package io.yuccaswitch.node.weight;
