/** An open-loop load generator, and a caller that follows the protocol of the entry addresses. */
package io.yuccaswitch.testkit.load;
