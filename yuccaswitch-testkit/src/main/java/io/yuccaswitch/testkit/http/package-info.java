/**
 * The common parts of the HTTP stand-ins: the server, the faults that can be injected, and the answers to which they
 * apply.
 */
package io.yuccaswitch.testkit.http;
