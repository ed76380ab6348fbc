package io.yuccaswitch.testkit.engine;

/**
 * A sequence of consecutive tokens that one weight version generated.
 *
 * @param version The weight version.
 * @param tokens The number of tokens.
 */
public record Segment(long version, int tokens) {}
