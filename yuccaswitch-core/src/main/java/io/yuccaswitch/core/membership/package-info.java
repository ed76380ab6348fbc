/** Membership of the site: how nodes discover each other and detect failures. */
package io.yuccaswitch.core.membership;
