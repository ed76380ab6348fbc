package io.yuccaswitch.testkit.trainer;

import java.util.Map;

/**
 * The results of a trainer.
 *
 * @param trainer The name of the trainer.
 * @param steps The number of trained steps.
 * @param groups The number of received groups.
 * @param samples The number of received samples.
 * @param duplicates The number of duplicate samples.
 * @param pastBound The number of samples that exceeded the staleness bound.
 * @param unlabelled The number of samples whose segments do not name versions for all tokens.
 * @param incompleteGroups The number of groups with missing samples.
 * @param staleness The number of samples by staleness in versions.
 * @param idleMillis The time in milliseconds that the trainer waited for samples.
 * @param trainMillis The time in milliseconds that the trainer trained.
 * @param idleShare The share of time that the trainer waited.
 * @param attempts The number of sent HTTP requests.
 * @param failures The number of HTTP requests that failed or were refused, and were therefore retried.
 */
record TrainerReport(
        String trainer,
        long steps,
        long groups,
        long samples,
        long duplicates,
        long pastBound,
        long unlabelled,
        long incompleteGroups,
        Map<Long, Long> staleness,
        long idleMillis,
        long trainMillis,
        double idleShare,
        long attempts,
        long failures) {

    /**
     * Returns whether every sample was received once, within the staleness bound and labelled, and every group is
     * complete.
     *
     * @return {@code true} if no check failed.
     */
    boolean passed() {
        return duplicates == 0 && pastBound == 0 && unlabelled == 0 && incompleteGroups == 0;
    }
}
