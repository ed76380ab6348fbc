package io.yuccaswitch.core.request;

import java.util.List;

/**
 * What an engine generated, with the weight versions that it says it used.
 *
 * @param text The generated text.
 * @param segments The segments of tokens in their order, each generated with one weight version.
 * @param finishReason The reason for which the engine stopped, such as {@code stop} or {@code length}, or an empty text
 *     if the end was not seen.
 */
public record Generation(String text, List<Segment> segments, String finishReason) {

    /** Copies the segments. */
    public Generation {
        segments = List.copyOf(segments);
    }

    /**
     * Returns the number of generated tokens.
     *
     * @return The number of tokens over all segments.
     */
    public int tokens() {
        return segments.stream().mapToInt(Segment::tokens).sum();
    }

    /**
     * A run of tokens that one weight version generated.
     *
     * @param version The weight version, or {@link #UNKNOWN_VERSION} if the engine did not say.
     * @param tokens The number of tokens.
     */
    public record Segment(long version, int tokens) {

        /** The version of a segment whose engine did not say which weights it used. */
        public static final long UNKNOWN_VERSION = -1;
    }
}
