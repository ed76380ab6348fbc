/**
 * Detects requests that make endpoints terminate, recognises them when they are repeated, and protects endpoints from
 * them.
 */
package io.yuccaswitch.core.quarantine;
