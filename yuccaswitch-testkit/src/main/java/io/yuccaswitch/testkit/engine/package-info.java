/** A stand-in for a model engine with continuous batching, a prefix cache, weight versions and orders. */
package io.yuccaswitch.testkit.engine;
