/** A stand-in for a service that scores samples. */
package io.yuccaswitch.testkit.scorer;
