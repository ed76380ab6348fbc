/** Messages between nodes as the decision core sees them. */
package io.yuccaswitch.core.peer;
