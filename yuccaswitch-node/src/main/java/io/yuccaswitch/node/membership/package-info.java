/** The shell of the membership: addresses, identity, status and metrics. */
package io.yuccaswitch.node.membership;
