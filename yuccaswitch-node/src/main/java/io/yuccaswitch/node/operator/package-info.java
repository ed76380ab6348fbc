/** The interface for operators: status, metrics, health, explanations, draining and log levels. */
package io.yuccaswitch.node.operator;
