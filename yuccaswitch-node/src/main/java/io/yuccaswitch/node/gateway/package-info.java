/**
 * The gateway: serves plain requests and batch jobs of callers that speak another interface than the product's own.
 * What is written on the wire comes from dialects; what is decided comes from the core.
 */
package io.yuccaswitch.node.gateway;
