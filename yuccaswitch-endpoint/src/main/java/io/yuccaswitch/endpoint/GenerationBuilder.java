package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Generation.Segment;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Collects what an engine generates, after what an earlier attempt had generated. */
final class GenerationBuilder {

    /** The text so far. */
    private final StringBuilder text;

    /** The segments of the earlier attempt. */
    private final List<Segment> resumed;

    /** The segments of this attempt, as its events told them. */
    private final List<Segment> told = new ArrayList<>();

    /** The largest length of the text. */
    private final long maximumLength;

    /**
     * Creates a builder.
     *
     * @param resumeFrom What an earlier attempt generated, or empty to begin anew.
     * @param maximumLength The largest length of the text.
     */
    GenerationBuilder(Optional<Generation> resumeFrom, long maximumLength) {
        this.maximumLength = maximumLength;
        text = new StringBuilder(resumeFrom.map(Generation::text).orElse(""));
        resumed = resumeFrom.map(Generation::segments).orElseGet(List::of);
    }

    /**
     * Adds whole tokens.
     *
     * @param piece The text of the tokens.
     * @param tokens The number of tokens.
     * @param version The weight version, or {@link Segment#UNKNOWN_VERSION}.
     * @throws AnswerException If the text becomes too long, or the tokens make no sense.
     */
    void add(String piece, int tokens, long version) throws AnswerException {
        if (tokens < 0 || (tokens == 0 && !piece.isEmpty())) {
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        }
        if (text.length() + (long) piece.length() > maximumLength) {
            throw new AnswerException(FailureCodes.ANSWER_TOO_LARGE);
        }
        text.append(piece);
        append(told, new Segment(version, tokens));
    }

    /**
     * Returns what was generated so far, with no end seen.
     *
     * @return The generation.
     */
    Generation partial() {
        return build(told, "");
    }

    /**
     * Returns what was generated up to the end.
     *
     * @param claimed The segments that the final event told, or empty if it told none.
     * @param finishReason The reason for which the engine stopped.
     * @return The generation, with unknown versions where the engine contradicted itself.
     * @throws AnswerException If tokens are missing.
     */
    Generation finish(Optional<List<Segment>> claimed, String finishReason) throws AnswerException {
        if (claimed.isEmpty()) {
            return build(told, finishReason);
        }
        List<Segment> joined = new ArrayList<>();
        claimed.get().forEach(segment -> append(joined, segment));
        if (tokens(joined) != tokens(told)) {
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        }
        if (!agrees(joined)) {
            return build(List.of(new Segment(Segment.UNKNOWN_VERSION, tokens(told))), finishReason);
        }
        return build(joined, finishReason);
    }

    /**
     * Returns whether segments agree with what the events told, where they told a version at all.
     *
     * @param claimed The segments of the final event, joined.
     * @return {@code true} if nothing contradicts.
     */
    private boolean agrees(List<Segment> claimed) {
        boolean silent = told.stream().allMatch(segment -> segment.version() == Segment.UNKNOWN_VERSION);
        return silent || told.equals(claimed);
    }

    /**
     * Builds a generation.
     *
     * @param segments The segments of this attempt.
     * @param finishReason The reason for which the engine stopped, or an empty text.
     * @return The generation.
     */
    private Generation build(List<Segment> segments, String finishReason) {
        List<Segment> all = new ArrayList<>();
        resumed.forEach(segment -> append(all, segment));
        segments.forEach(segment -> append(all, segment));
        return new Generation(text.toString(), all, finishReason);
    }

    /**
     * Appends a segment, joined with the last one if both have the same version.
     *
     * @param segments The segments to grow.
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
     * @return The number of tokens over all segments.
     */
    private static int tokens(List<Segment> segments) {
        return segments.stream().mapToInt(Segment::tokens).sum();
    }
}
