/**
 * How much each client account uses: the requests that began to run in each window of true time, counted where they
 * were sent, kept at two further nodes, summed and reported by the node that has the duties.
 */
package io.yuccaswitch.core.usage;
