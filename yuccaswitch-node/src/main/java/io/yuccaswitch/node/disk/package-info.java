/** What a node keeps on the small disk that a few VMs have. Nothing on a disk is ever the only copy. */
package io.yuccaswitch.node.disk;
