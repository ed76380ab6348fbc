/** Immutable value types that are shared by all packages. */
package io.yuccaswitch.core.value;
