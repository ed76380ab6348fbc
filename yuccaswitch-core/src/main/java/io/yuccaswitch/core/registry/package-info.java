/** Endpoints that register themselves at the platform, and this node's copy of their registry. */
package io.yuccaswitch.core.registry;
