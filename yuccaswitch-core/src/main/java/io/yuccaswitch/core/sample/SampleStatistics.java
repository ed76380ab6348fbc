package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.TrainerName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The counters of samples and groups, by trainer. */
final class SampleStatistics {

    /** The number of entries of the staleness histogram, by versions of lag. */
    private static final int STALENESS_HISTOGRAM_SIZE = 17;

    /** The multiple of the usual generation time beyond which a sample is considered a straggler. */
    private static final double STRAGGLER_FACTOR = 4;

    /** The weight of the newest observation in the usual generation time. */
    private static final double SMOOTHING_FACTOR = 0.05;

    /** The counters by trainer. */
    private final Map<TrainerName, Counters> counters = new HashMap<>();

    /**
     * Counts discarded samples.
     *
     * @param trainer The trainer.
     * @param reason The reason.
     * @param samples The number of samples.
     * @param tokens The number of tokens of the discarded samples.
     */
    void discarded(TrainerName trainer, DiscardReason reason, int samples, long tokens) {
        Counters trainerCounters = of(trainer);
        trainerCounters.discarded.merge(reason, (long) samples, Long::sum);
        trainerCounters.discardedTokens += tokens;
    }

    /**
     * Counts a generated sample.
     *
     * @param trainer The trainer.
     * @param tokens The number of its tokens.
     * @param time The time that the generation took.
     */
    void generated(TrainerName trainer, int tokens, Duration time) {
        Counters trainerCounters = of(trainer);
        trainerCounters.tokens += tokens;
        double nanos = time.toNanos();
        if (trainerCounters.usualNanos > 0 && nanos > STRAGGLER_FACTOR * trainerCounters.usualNanos) {
            trainerCounters.stragglers++;
        }
        trainerCounters.usualNanos = trainerCounters.usualNanos == 0
                ? nanos
                : trainerCounters.usualNanos + SMOOTHING_FACTOR * (nanos - trainerCounters.usualNanos);
    }

    /**
     * Counts a completed group.
     *
     * @param trainer The trainer.
     * @param time The time since its acceptance.
     */
    void completed(TrainerName trainer, Duration time) {
        Counters trainerCounters = of(trainer);
        trainerCounters.completed++;
        trainerCounters.completionTime = trainerCounters.completionTime.plus(time);
        trainerCounters.completionMaximum =
                trainerCounters.completionMaximum.compareTo(time) < 0 ? time : trainerCounters.completionMaximum;
    }

    /**
     * Counts a group that was handed over and acknowledged.
     *
     * @param group The group.
     * @param useVersion The weight version with which the trainer uses it.
     */
    void handedOver(FinishedGroup group, long useVersion) {
        Counters trainerCounters = of(group.key().trainer());
        trainerCounters.handedOver++;
        for (Sample sample : group.samples()) {
            long versionLag = Math.max(0, useVersion - sample.oldestVersion());
            trainerCounters.staleness[(int) Math.min(STALENESS_HISTOGRAM_SIZE - 1, versionLag)]++;
        }
    }

    /**
     * Adds to the time that pulls waited.
     *
     * @param trainer The trainer.
     * @param cause The cause for which the pull waited.
     * @param time The time.
     */
    void waited(TrainerName trainer, SampleReport.WaitCause cause, Duration time) {
        of(trainer).waiting.merge(cause, time, Duration::plus);
    }

    /**
     * Reports the state of all trainers.
     *
     * @param context The tables to read.
     * @return The report.
     */
    SampleReport report(SampleContext context) {
        for (HeldGroup group : context.held.view()) {
            of(group.key().trainer());
        }
        for (KeptGroup group : context.kept.view()) {
            of(group.group().key().trainer());
        }
        Map<TrainerName, SampleReport.Trainer> reports = new HashMap<>();
        counters.forEach((trainer, trainerCounters) -> reports.put(trainer, trainerCounters.report(trainer, context)));
        return new SampleReport(reports);
    }

    /**
     * Returns the counters of a trainer.
     *
     * @param trainer The trainer.
     * @return The counters.
     */
    private Counters of(TrainerName trainer) {
        return counters.computeIfAbsent(trainer, _trainer -> new Counters());
    }

    /** The counters of one trainer. */
    private static final class Counters {

        /** The number of discarded samples by reason. */
        private final Map<DiscardReason, Long> discarded = new EnumMap<>(DiscardReason.class);

        /** The time that pulls waited by cause. */
        private final Map<SampleReport.WaitCause, Duration> waiting = new EnumMap<>(SampleReport.WaitCause.class);

        /** The number of acknowledged samples by the number of versions that they lagged behind. */
        private final long[] staleness = new long[STALENESS_HISTOGRAM_SIZE];

        /** The number of tokens of the discarded samples. */
        private long discardedTokens;

        /** The number of tokens that were generated and accepted. */
        private long tokens;

        /** The moving average of generation times in nanoseconds, or zero before the first generation. */
        private double usualNanos;

        /** The number of stragglers. */
        private long stragglers;

        /** The number of completed groups. */
        private long completed;

        /** The sum of their completion times. */
        private Duration completionTime = Duration.ZERO;

        /** The maximum completion time. */
        private Duration completionMaximum = Duration.ZERO;

        /** The number of acknowledged groups. */
        private long handedOver;

        /**
         * Reports these counters.
         *
         * @param trainer The trainer.
         * @param context The tables to read.
         * @return The report.
         */
        private SampleReport.Trainer report(TrainerName trainer, SampleContext context) {
            List<HeldGroup> groups = context.held.view().stream()
                    .filter(group -> group.key().trainer().equals(trainer))
                    .toList();
            int backups = (int) groups.stream()
                    .filter(group -> group.stage() == HeldGroup.Stage.BACKUP)
                    .count();
            int ready = (int) context.kept.view().stream()
                    .filter(group -> group.group().key().trainer().equals(trainer))
                    .count();
            List<Long> histogram = new ArrayList<>();
            long samples = 0;
            for (long count : staleness) {
                histogram.add(count);
                samples += count;
            }
            return new SampleReport.Trainer(
                    groups.size() - backups,
                    backups,
                    count(groups, Slot.Phase.GENERATING),
                    count(groups, Slot.Phase.WAITING),
                    count(groups, Slot.Phase.UNSCORED) + count(groups, Slot.Phase.SCORING),
                    ready,
                    handedOver,
                    samples,
                    histogram,
                    discarded,
                    discardedTokens,
                    tokens,
                    completed,
                    completed == 0 ? Duration.ZERO : completionTime.dividedBy(completed),
                    completionMaximum,
                    stragglers,
                    waiting);
        }

        /**
         * Counts the samples of running groups in a phase.
         *
         * @param groups The groups.
         * @param phase The phase to count.
         * @return The number of samples in the phase.
         */
        private static int count(List<HeldGroup> groups, Slot.Phase phase) {
            return (int) groups.stream()
                    .filter(group -> group.stage() == HeldGroup.Stage.RUNNING)
                    .flatMap(group -> group.slots().stream())
                    .filter(slot -> slot.phase() == phase)
                    .count();
        }
    }
}
