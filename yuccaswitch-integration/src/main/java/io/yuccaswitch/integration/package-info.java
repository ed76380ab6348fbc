/** Integration tests that run the packaged binaries as real processes. */
package io.yuccaswitch.integration;
