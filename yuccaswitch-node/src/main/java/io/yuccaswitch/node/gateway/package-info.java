/**
 * The gateway: serves plain requests and batch jobs of callers that use an interface other than the product's own.
 * Dialects define the wire formats; the decision core makes the decisions.
 */
package io.yuccaswitch.node.gateway;
