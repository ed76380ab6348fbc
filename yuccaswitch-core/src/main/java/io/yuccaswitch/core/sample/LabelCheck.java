package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.request.Generation;
import java.util.List;
import java.util.OptionalLong;

/**
 * Judges whether the versions that an engine reported for a generation may label a sample. A label is never guessed: a
 * generation whose versions are not proven runs again.
 */
final class LabelCheck {

    /** The latest readings of the engines' versions. */
    private final VersionReadings readings;

    /**
     * Creates a new check.
     *
     * @param readings The latest readings of the engines' versions.
     */
    LabelCheck(VersionReadings readings) {
        this.readings = readings;
    }

    /** What a check found. */
    enum Verdict {
        /** The label is proven. */
        PROVEN,
        /** The engine did not say which versions it used. */
        UNREPORTED,
        /** The engine named a version that the trainer has not published, or versions that run backwards. */
        IMPOSSIBLE,
        /** The engine named a newer version than its latest reading, such that the next reading has to confirm it. */
        UNCONFIRMED
    }

    /**
     * Judges a generation.
     *
     * @param generation What the engine generated, with its versions.
     * @param engine The engine.
     * @param model The model.
     * @param published The highest version that the trainer is known to have published, or zero if none is.
     * @return What the check found.
     */
    Verdict judge(Generation generation, EndpointName engine, String model, long published) {
        List<Generation.Segment> segments = generation.segments();
        if (segments.isEmpty() || segments.stream().anyMatch(segment -> segment.version() < 0)) {
            return Verdict.UNREPORTED;
        }
        long newest = newest(segments);
        if (published > 0 && newest > published) {
            return Verdict.IMPOSSIBLE;
        }
        return confirmed(newest, engine, model) ? Verdict.PROVEN : Verdict.UNCONFIRMED;
    }

    /**
     * Returns whether the latest reading of an engine agrees with a label.
     *
     * @param newest The newest version of the label.
     * @param engine The engine.
     * @param model The model.
     * @return {@code true} if the engine was not read yet, or was read to hold this version or a newer one.
     */
    boolean confirmed(long newest, EndpointName engine, String model) {
        OptionalLong reading = readings.version(engine, model);
        return reading.isEmpty() || reading.getAsLong() >= newest;
    }

    /**
     * Returns the newest version of a label.
     *
     * @param segments The segments of the label.
     * @return The newest version.
     */
    static long newest(List<Generation.Segment> segments) {
        return segments.stream().mapToLong(Generation.Segment::version).max().orElse(0);
    }
}
