package io.yuccaswitch.core.request;

import java.util.List;

/**
 * The output of an engine, with the weight versions that it reports to have used.
 *
 * @param text The generated text.
 * @param segments The segments of tokens in their order, each generated with one weight version.
 * @param finishReason The reason why the engine stopped, such as {@code stop} or {@code length}, or an empty text if
 *     the end was not received.
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
     * A sequence of tokens that were generated with one weight version.
     *
     * @param version The weight version, or {@link #UNKNOWN_VERSION} if the engine did not report it.
     * @param tokens The number of tokens.
     */
    public record Segment(long version, int tokens) {

        /** The version of a segment whose engine did not report which weights it used. */
        public static final long UNKNOWN_VERSION = -1;
    }
}
