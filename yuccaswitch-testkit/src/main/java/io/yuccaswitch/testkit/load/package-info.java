/** An open-loop generator of load, and a caller that behaves as the interface of the entry addresses asks. */
package io.yuccaswitch.testkit.load;
