/** The platform's object API as the decision core sees it: effects that ask and events that answer. */
package io.yuccaswitch.core.platform;
