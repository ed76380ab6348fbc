/** Connects the membership to the transport, the status document and the metrics. */
package io.yuccaswitch.node.membership;
