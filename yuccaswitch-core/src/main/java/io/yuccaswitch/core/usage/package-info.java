/**
 * The usage of each client account: the number of requests that began to run in each window of true time. The node that
 * sent a request counts it, two further nodes keep a copy of the counts, and the node that holds the duties sums and
 * reports them.
 */
package io.yuccaswitch.core.usage;
