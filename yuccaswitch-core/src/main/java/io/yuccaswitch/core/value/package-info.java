/** Small immutable values shared by all concepts. */
package io.yuccaswitch.core.value;
