/**
 * The request path, from arrival to outcome: identifiers, attempts, outcomes and the effects that the shell performs.
 */
package io.yuccaswitch.core.request;
