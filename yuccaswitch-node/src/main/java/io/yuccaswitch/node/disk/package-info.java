/** Storage on the small disk that a few VMs have. A disk never holds the only copy of any data. */
package io.yuccaswitch.node.disk;
