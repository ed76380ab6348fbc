package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Generation.Segment;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Accumulates the output of an engine, appended to the generation of an earlier attempt that is resumed. */
final class GenerationBuilder {

    /** The maximum number of changes of the weight version within a generation. */
    private static final int MAXIMUM_SEGMENTS = 4096;

    /** The text generated so far. */
    private final StringBuilder text;

    /** The segments of the earlier attempt. */
    private final List<Segment> resumedSegments;

    /** The segments of this attempt as reported by its events. */
    private final List<Segment> reportedSegments = new ArrayList<>();

    /** The maximum length of the text in characters. */
    private final long maximumLength;

    /**
     * Creates a builder.
     *
     * @param resumeFrom The generation of an earlier attempt to resume, or empty to start from the beginning.
     * @param maximumLength The maximum length of the text in characters.
     */
    GenerationBuilder(Optional<Generation> resumeFrom, long maximumLength) {
        this.maximumLength = maximumLength;
        text = new StringBuilder(resumeFrom.map(Generation::text).orElse(""));
        resumedSegments = resumeFrom.map(Generation::segments).orElseGet(List::of);
    }

    /**
     * Adds complete tokens.
     *
     * @param tokenText The text of the tokens.
     * @param tokens The number of tokens.
     * @param version The weight version, or {@link Segment#UNKNOWN_VERSION}.
     * @throws AnswerException If the text becomes too long, if there are too many segments, or if the number of tokens
     *     is invalid.
     */
    void add(String tokenText, int tokens, long version) throws AnswerException {
        if (tokens < 0 || (tokens == 0 && !tokenText.isEmpty())) {
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        }
        if (text.length() + (long) tokenText.length() > maximumLength || reportedSegments.size() > MAXIMUM_SEGMENTS) {
            throw new AnswerException(FailureCodes.ANSWER_TOO_LARGE);
        }
        text.append(tokenText);
        append(reportedSegments, new Segment(version, tokens));
    }

    /**
     * Returns the incomplete generation so far.
     *
     * @return The generation.
     */
    Generation partial() {
        return build(reportedSegments, "");
    }

    /**
     * Returns the complete generation.
     *
     * @param finalSegments The segments that the final event reported, or empty if it reported none.
     * @param finishReason The reason why the engine stopped.
     * @return The generation, with an unknown version if the reports of the engine contradict each other.
     * @throws AnswerException If the numbers of tokens differ.
     */
    Generation finish(Optional<List<Segment>> finalSegments, String finishReason) throws AnswerException {
        if (finalSegments.isEmpty()) {
            return build(reportedSegments, finishReason);
        }
        List<Segment> mergedSegments = new ArrayList<>();
        finalSegments.get().forEach(segment -> append(mergedSegments, segment));
        if (tokens(mergedSegments) != tokens(reportedSegments)) {
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        }
        if (!isConsistent(mergedSegments)) {
            return build(List.of(new Segment(Segment.UNKNOWN_VERSION, tokens(reportedSegments))), finishReason);
        }
        return build(mergedSegments, finishReason);
    }

    /**
     * Returns whether segments are consistent with those that the events reported, if the events reported versions.
     *
     * @param finalSegments The merged segments of the final event.
     * @return {@code true} if there is no contradiction.
     */
    private boolean isConsistent(List<Segment> finalSegments) {
        boolean noVersionReported =
                reportedSegments.stream().allMatch(segment -> segment.version() == Segment.UNKNOWN_VERSION);
        return noVersionReported || reportedSegments.equals(finalSegments);
    }

    /**
     * Builds a generation.
     *
     * @param segments The segments of this attempt.
     * @param finishReason The reason why the engine stopped, or an empty string if the generation is incomplete.
     * @return The generation.
     */
    private Generation build(List<Segment> segments, String finishReason) {
        List<Segment> all = new ArrayList<>();
        resumedSegments.forEach(segment -> append(all, segment));
        segments.forEach(segment -> append(all, segment));
        return new Generation(text.toString(), all, finishReason);
    }

    /**
     * Appends a segment, merging it with the last one if both have the same version.
     *
     * @param segments The segments to append to.
     * @param segment The segment to append.
     */
    private static void append(List<Segment> segments, Segment segment) {
        if (segment.tokens() == 0) {
            return;
        }
        int last = segments.size() - 1;
        if (last >= 0 && segments.get(last).version() == segment.version()) {
            segments.set(last, new Segment(segment.version(), segments.get(last).tokens() + segment.tokens()));
        } else {
            segments.add(segment);
        }
    }

    /**
     * Counts tokens.
     *
     * @param segments The segments.
     * @return The total number of tokens.
     */
    private static int tokens(List<Segment> segments) {
        return segments.stream().mapToInt(Segment::tokens).sum();
    }
}
