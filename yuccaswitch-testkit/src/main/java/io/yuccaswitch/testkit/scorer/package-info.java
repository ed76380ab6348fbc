/** A stand-in of a service that scores samples. */
package io.yuccaswitch.testkit.scorer;
