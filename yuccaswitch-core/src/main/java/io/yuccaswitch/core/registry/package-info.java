/** Endpoints that register themselves at the platform, and what this node believes of them. */
package io.yuccaswitch.core.registry;
