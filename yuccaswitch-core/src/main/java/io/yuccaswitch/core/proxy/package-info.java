/** Decisions on plain requests: which endpoint, how long, and what follows a failure. */
package io.yuccaswitch.core.proxy;
