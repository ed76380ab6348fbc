/**
 * Validates the answers that HTTP clients receive: an answer is read by the client library only if its head and its
 * framing are valid, and a connection is used for a request only if it holds nothing else.
 */
package io.yuccaswitch.http;
