package io.yuccaswitch.node.trainer;

import io.yuccaswitch.core.sample.DiscardReason;
import io.yuccaswitch.core.sample.SampleReport;
import io.yuccaswitch.core.sample.SampleSystem;
import io.yuccaswitch.node.operator.StatusSection;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The part of the status document that shows samples by trainer. */
public final class SampleStatus implements StatusSection {

    /** The sample system to show. */
    private final SampleSystem system;

    /**
     * Creates a new section.
     *
     * @param system The sample system to show.
     */
    public SampleStatus(SampleSystem system) {
        this.system = system;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "samples";
    }

    /** {@inheritDoc} */
    @Override
    public Object content() {
        Map<String, TrainerStatus> trainers = new TreeMap<>();
        system.report()
                .trainers()
                .forEach((trainer, report) -> trainers.put(trainer.value(), TrainerStatus.of(report)));
        return trainers;
    }

    /**
     * The samples of one trainer.
     *
     * @param groupsDriven The number of groups that this node drives.
     * @param groupsBackedUp The number of groups that this node backs up.
     * @param groupsReady The number of finished groups that this node keeps.
     * @param samplesQueued The number of samples that wait for their generation.
     * @param samplesGenerating The number of samples that are being generated.
     * @param samplesScoring The number of samples that have been generated and not yet scored.
     * @param groupsHandedOver The number of groups that this node handed over and the trainer acknowledged.
     * @param samplesHandedOver The number of samples in those groups.
     * @param staleness The number of those samples by the number of versions by which they lagged.
     * @param discardedSamples The number of discarded samples by reason.
     * @param discardedTokens The number of generated tokens that were discarded.
     * @param acceptedTokens The number of generated tokens that were accepted.
     * @param groupsCompleted The number of groups that this node completed.
     * @param completionMeanMillis The mean time from the acceptance of a group to its completion.
     * @param completionMaximumMillis The maximum of these times.
     * @param stragglers The number of samples that took several times longer than usual.
     * @param pullWaitMillis The milliseconds that the trainer's pulls waited, by the cause of the wait.
     */
    record TrainerStatus(
            int groupsDriven,
            int groupsBackedUp,
            int groupsReady,
            int samplesQueued,
            int samplesGenerating,
            int samplesScoring,
            long groupsHandedOver,
            long samplesHandedOver,
            List<Long> staleness,
            Map<String, Long> discardedSamples,
            long discardedTokens,
            long acceptedTokens,
            long groupsCompleted,
            long completionMeanMillis,
            long completionMaximumMillis,
            long stragglers,
            Map<String, Long> pullWaitMillis) {

        /**
         * Converts a report.
         *
         * @param report The report.
         * @return The status.
         */
        static TrainerStatus of(SampleReport.Trainer report) {
            return new TrainerStatus(
                    report.driven(),
                    report.backedUp(),
                    report.ready(),
                    report.queued(),
                    report.generating(),
                    report.scoring(),
                    report.handedOver(),
                    report.samples(),
                    report.staleness(),
                    report.discarded().entrySet().stream()
                            .collect(Collectors.toMap(SampleStatus::code, Map.Entry::getValue)),
                    report.discardedTokens(),
                    report.tokens(),
                    report.groupsCompleted(),
                    report.completionMean().toMillis(),
                    report.completionMaximum().toMillis(),
                    report.stragglers(),
                    report.waiting().entrySet().stream()
                            .collect(Collectors.toMap(SampleStatus::cause, SampleStatus::millis)));
        }
    }

    /**
     * Returns the code of a reason.
     *
     * @param entry The entry whose key is the reason.
     * @return The code.
     */
    static String code(Map.Entry<DiscardReason, Long> entry) {
        return entry.getKey().code();
    }

    /**
     * Returns the code of a cause.
     *
     * @param entry The entry whose key is the cause.
     * @return The code.
     */
    static String cause(Map.Entry<SampleReport.WaitCause, Duration> entry) {
        return entry.getKey().name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the time of a cause.
     *
     * @param entry The entry whose value is the time.
     * @return The time in milliseconds.
     */
    static long millis(Map.Entry<SampleReport.WaitCause, Duration> entry) {
        return entry.getValue().toMillis();
    }
}
