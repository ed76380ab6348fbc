/** Names of the things that the service knows: nodes, availability zones, pools, endpoints, callers and trainers. */
package io.yuccaswitch.core.identity;
