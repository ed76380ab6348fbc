/** Decisions on plain requests: the choice of the endpoint, timeouts and the handling of failures. */
package io.yuccaswitch.core.proxy;
