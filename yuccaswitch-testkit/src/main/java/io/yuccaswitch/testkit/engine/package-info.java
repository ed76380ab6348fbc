/** A stand-in of a model engine with continuous batching, a prefix cache, weight versions and orders. */
package io.yuccaswitch.testkit.engine;
