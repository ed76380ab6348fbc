package io.yuccaswitch.testkit.trainer;

import java.util.Map;

/**
 * What a trainer found.
 *
 * @param trainer The name of the trainer.
 * @param steps The number of steps that were trained.
 * @param groups The number of groups that were received.
 * @param samples The number of samples that were received.
 * @param duplicates The number of samples that were received again.
 * @param pastBound The number of samples that were past the staleness bound.
 * @param unlabelled The number of samples whose segments do not name versions for all tokens.
 * @param incompleteGroups The number of groups that lacked samples.
 * @param staleness The number of samples by the number of versions that they were behind.
 * @param idleMillis The time that the trainer waited for samples.
 * @param trainMillis The time that the trainer trained.
 * @param idleShare The share of the time that the trainer waited.
 * @param attempts The number of HTTP requests that were sent.
 * @param failures The number of HTTP requests that failed or were refused, such that they were sent again.
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
     * Returns whether every sample came once, fresh and labelled.
     *
     * @return {@code true} if nothing was wrong.
     */
    boolean sound() {
        return duplicates == 0 && pastBound == 0 && unlabelled == 0 && incompleteGroups == 0;
    }
}
