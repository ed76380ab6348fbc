/** What the HTTP stand-ins share: the server, the faults that can be ordered, and answers that suffer them. */
package io.yuccaswitch.testkit.http;
