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
        /** The engine named a newer version than its latest reading or the latest publication, which lag behind. */
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
        return confirmed(newest(segments), engine, model, published) ? Verdict.PROVEN : Verdict.UNCONFIRMED;
    }

    /**
     * Returns whether the latest reading of an engine and the latest publication agree with a label.
     *
     * @param newest The newest version of the label.
     * @param engine The engine.
     * @param model The model.
     * @param published The highest version that the trainer is known to have published, or zero if none is.
     * @return {@code true} if the version was published, and the engine was not read yet or was read to hold this
     *     version or a newer one.
     */
    boolean confirmed(long newest, EndpointName engine, String model, long published) {
        OptionalLong reading = readings.version(engine, model);
        boolean read = reading.isEmpty() || reading.getAsLong() >= newest;
        return read && (published == 0 || newest <= published);
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
