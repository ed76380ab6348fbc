/** Requests under which endpoints end: how they are recognised when they come again, and kept away from endpoints. */
package io.yuccaswitch.core.quarantine;
