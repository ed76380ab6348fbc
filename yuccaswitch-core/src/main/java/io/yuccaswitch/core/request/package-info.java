/** Requests from their arrival to their outcome: identifiers, attempts, outcomes and what the shell does for them. */
package io.yuccaswitch.core.request;
