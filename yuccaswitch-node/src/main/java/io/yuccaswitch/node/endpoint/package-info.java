/** Connects the clients of endpoints to the decision loop. */
package io.yuccaswitch.node.endpoint;
