/** The endpoints in the decision core: their addresses, conditions, reported load and loaded weight versions. */
package io.yuccaswitch.core.endpoint;
