/** Policies that choose the endpoint that serves a request. */
package io.yuccaswitch.core.routing;
