package io.yuccaswitch.testkit.trainer;

import io.yuccaswitch.testkit.check.Observation.SampleReceived;
import io.yuccaswitch.testkit.check.Observation.Segment;
import io.yuccaswitch.testkit.check.Observation.Slot;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Checks the samples that a trainer receives, and counts them. */
final class SampleTally {

    /** The staleness bound. */
    private final int bound;

    /** The places of all samples that were received. */
    private final Set<Slot> seen = new HashSet<>();

    /** The number of received samples by the place of the first sample of their group. */
    private final Map<Slot, Integer> groups = new HashMap<>();

    /** The number of samples by the number of versions that they were behind. */
    private final Map<Long, Long> staleness = new TreeMap<>();

    /** The number of samples that were received again. */
    private long duplicates;

    /** The number of samples that were past the bound. */
    private long pastBound;

    /** The number of samples that were not labelled. */
    private long unlabelled;

    /**
     * Creates a new tally.
     *
     * @param bound The staleness bound.
     */
    SampleTally(int bound) {
        this.bound = bound;
    }

    /**
     * Counts a sample.
     *
     * @param sample The sample.
     * @param tokens The number of tokens that the system says it has.
     */
    void add(SampleReceived sample, int tokens) {
        if (!seen.add(sample.slot())) {
            duplicates++;
            return;
        }
        groups.merge(sample.slot().withIndex(0), 1, Integer::sum);
        int labelled = sample.segments().stream().mapToInt(Segment::tokens).sum();
        boolean named = sample.segments().stream().allMatch(segment -> segment.version() >= 0);
        if (sample.segments().isEmpty() || labelled != tokens || !named) {
            unlabelled++;
            return;
        }
        long oldest =
                sample.segments().stream().mapToLong(Segment::version).min().orElseThrow();
        long behind = Math.max(0, sample.useVersion() - oldest);
        staleness.merge(behind, 1L, Long::sum);
        if (behind > bound) {
            pastBound++;
        }
    }

    /**
     * Counts the groups of a step that were received.
     *
     * @param step The step.
     * @return The number of groups.
     */
    long groups(long step) {
        return groups.keySet().stream().filter(slot -> slot.step() == step).count();
    }

    /**
     * Makes the report.
     *
     * @param options The options of the trainer.
     * @param steps The number of steps that were trained.
     * @param idleMillis The time that the trainer waited for samples.
     * @param trainMillis The time that the trainer trained.
     * @param client The client, for its counts.
     * @return The report.
     */
    TrainerReport report(TrainerOptions options, long steps, long idleMillis, long trainMillis, TrainerClient client) {
        long incomplete = groups.values().stream()
                .filter(size -> size != options.groupSize)
                .count();
        double total = Math.max(1, idleMillis + trainMillis);
        return new TrainerReport(
                options.trainer,
                steps,
                groups.size(),
                seen.size(),
                duplicates,
                pastBound,
                unlabelled,
                incomplete,
                staleness,
                idleMillis,
                trainMillis,
                idleMillis / total,
                client.attempts(),
                client.failures());
    }
}
