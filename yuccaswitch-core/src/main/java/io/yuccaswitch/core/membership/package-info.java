/** The nodes of the site and what each node believes of the others. */
package io.yuccaswitch.core.membership;
