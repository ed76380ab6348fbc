/** Names of nodes, availability zones, pools, endpoints, callers and trainers. */
package io.yuccaswitch.core.identity;
