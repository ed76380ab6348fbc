/** The platform's object API as the decision core uses it: calls are effects, and their answers are events. */
package io.yuccaswitch.core.platform;
