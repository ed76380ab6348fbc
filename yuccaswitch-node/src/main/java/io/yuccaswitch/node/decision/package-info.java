/** The log of decisions and their explanations. */
package io.yuccaswitch.node.decision;
