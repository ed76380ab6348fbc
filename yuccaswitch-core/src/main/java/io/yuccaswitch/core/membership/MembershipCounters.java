package io.yuccaswitch.core.membership;

/** Counts events of the membership protocol. */
final class MembershipCounters {

    /** The exchanges that this node opened. */
    private long exchanges;

    /** The answers that this node received. */
    private long answers;

    /** The suspicions that this node raised. */
    private long suspicions;

    /** The suspicions that were refuted. */
    private long refutedSuspicions;

    /** The members that were declared dead and turned out to be alive. */
    private long refutedDeaths;

    /** The times that this node refuted a row that superseded its own. */
    private long ownRefutations;

    /** The detected pauses of this node. */
    private long pauses;

    /** Counts an exchange that this node opened. */
    void exchange() {
        exchanges++;
    }

    /** Counts an answer. */
    void answer() {
        answers++;
    }

    /** Counts a suspicion that this node raised. */
    void suspicion() {
        suspicions++;
    }

    /**
     * Counts that a member turned out to be alive.
     *
     * @param previous The condition that was recorded before.
     */
    void refuted(MemberCondition previous) {
        if (previous == MemberCondition.SUSPECTED) {
            refutedSuspicions++;
        } else if (previous == MemberCondition.DEAD) {
            refutedDeaths++;
        }
    }

    /** Counts a refutation by this node. */
    void ownRefutation() {
        ownRefutations++;
    }

    /** Counts a detected pause of this node. */
    void pause() {
        pauses++;
    }

    /**
     * Returns the current counts.
     *
     * @return The current counts.
     */
    MembershipStatistics snapshot() {
        return new MembershipStatistics(
                exchanges, answers, suspicions, refutedSuspicions, refutedDeaths, ownRefutations, pauses);
    }
}
