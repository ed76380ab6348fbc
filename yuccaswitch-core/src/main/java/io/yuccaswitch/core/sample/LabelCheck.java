package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.request.Generation;
import java.util.List;
import java.util.OptionalLong;

/**
 * Checks whether the versions that an engine reported for a generation may label a sample. A label is never guessed: a
 * generation whose versions can't be verified is run again.
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

    /** The result of a check. */
    enum Verdict {
        /** The label is verified. */
        VERIFIED,
        /** The engine did not report which versions it used. */
        UNREPORTED,
        /**
         * The label is newer than the latest reading of the engine or the latest publication, either of which may lag
         * behind.
         */
        UNCONFIRMED
    }

    /**
     * Checks the label of a generation.
     *
     * @param generation The generation, with the versions that the engine reported.
     * @param engine The engine.
     * @param model The model.
     * @param published The highest recorded version that the trainer has published, or zero if there is none.
     * @return The result of the check.
     */
    Verdict check(Generation generation, EndpointName engine, String model, long published) {
        List<Generation.Segment> segments = generation.segments();
        if (segments.isEmpty() || segments.stream().anyMatch(segment -> segment.version() < 0)) {
            return Verdict.UNREPORTED;
        }
        return confirmed(newestVersion(segments), engine, model, published) ? Verdict.VERIFIED : Verdict.UNCONFIRMED;
    }

    /**
     * Returns whether the latest reading of an engine and the latest publication confirm a label.
     *
     * @param newestVersion The newest version of the label.
     * @param engine The engine.
     * @param model The model.
     * @param published The highest recorded version that the trainer has published, or zero if there is none.
     * @return {@code true} if the version was published or no publication is recorded, and the engine reported this
     *     version or a newer one at its latest reading or was not read yet.
     */
    boolean confirmed(long newestVersion, EndpointName engine, String model, long published) {
        OptionalLong reading = readings.version(engine, model);
        boolean confirmedByReading = reading.isEmpty() || reading.getAsLong() >= newestVersion;
        return confirmedByReading && (published == 0 || newestVersion <= published);
    }

    /**
     * Returns the newest version of a label.
     *
     * @param segments The segments of the label.
     * @return The newest version.
     */
    static long newestVersion(List<Generation.Segment> segments) {
        return segments.stream().mapToLong(Generation.Segment::version).max().orElse(0);
    }
}
