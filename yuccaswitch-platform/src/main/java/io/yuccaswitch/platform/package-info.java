/**
 * The client of the platform's object API: it carries out the decision core's calls within rate limits, never repeats a
 * write blindly, and keeps quiet while the platform is out of service.
 */
package io.yuccaswitch.platform;
