package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.request.Generation;
import java.util.List;

/**
 * A finished sample.
 *
 * @param index The index of the sample in its group.
 * @param text The generated text.
 * @param segments The segments of tokens with the weight versions that the engine reported for them.
 * @param score The score, or zero if the sample is not scored.
 * @param scored {@code true} if a scorer gave the score.
 */
public record Sample(int index, String text, List<Generation.Segment> segments, double score, boolean scored) {

    /** Copies the segments. */
    public Sample {
        segments = List.copyOf(segments);
    }

    /**
     * Returns the oldest weight version that produced a part of this sample.
     *
     * @return The minimum version of all segments.
     */
    public long oldestVersion() {
        return segments.stream()
                .mapToLong(Generation.Segment::version)
                .min()
                .orElse(Generation.Segment.UNKNOWN_VERSION);
    }

    /**
     * Returns the number of tokens of this sample.
     *
     * @return The number of tokens over all segments.
     */
    public int tokens() {
        return segments.stream().mapToInt(Generation.Segment::tokens).sum();
    }

    /**
     * Returns this sample with a score.
     *
     * @param value The score that the scorer gave.
     * @return The scored sample.
     */
    public Sample withScore(double value) {
        return new Sample(index, text, segments, value, true);
    }
}
