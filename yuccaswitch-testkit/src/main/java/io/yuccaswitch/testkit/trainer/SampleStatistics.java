package io.yuccaswitch.testkit.trainer;

import io.yuccaswitch.testkit.check.Observation.SampleReceived;
import io.yuccaswitch.testkit.check.Observation.Segment;
import io.yuccaswitch.testkit.check.Observation.Slot;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Checks and counts the samples that a trainer receives. */
final class SampleStatistics {

    /** The staleness bound. */
    private final int bound;

    /** The slots of all received samples. */
    private final Set<Slot> receivedSlots = new HashSet<>();

    /** The number of received samples by the slot of the first sample of their group. */
    private final Map<Slot, Integer> groups = new HashMap<>();

    /** The number of samples by staleness in versions. */
    private final Map<Long, Long> staleness = new TreeMap<>();

    /** The number of duplicate samples. */
    private long duplicates;

    /** The number of samples that exceeded the staleness bound. */
    private long pastBound;

    /** The number of samples without version labels for all of their tokens. */
    private long unlabelled;

    /**
     * Creates empty statistics.
     *
     * @param bound The staleness bound.
     */
    SampleStatistics(int bound) {
        this.bound = bound;
    }

    /**
     * Checks and counts a sample.
     *
     * @param sample The sample.
     * @param tokens The number of tokens that the system reports for the sample.
     */
    void add(SampleReceived sample, int tokens) {
        if (!receivedSlots.add(sample.slot())) {
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
        long lag = Math.max(0, sample.useVersion() - oldest);
        staleness.merge(lag, 1L, Long::sum);
        if (lag > bound) {
            pastBound++;
        }
    }

    /**
     * Returns the number of received groups of a step.
     *
     * @param step The step.
     * @return The number of groups.
     */
    long groups(long step) {
        return groups.keySet().stream().filter(slot -> slot.step() == step).count();
    }

    /**
     * Creates the report.
     *
     * @param options The options of the trainer.
     * @param steps The number of trained steps.
     * @param idleMillis The time in milliseconds that the trainer waited for samples.
     * @param trainMillis The time in milliseconds that the trainer trained.
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
                receivedSlots.size(),
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
