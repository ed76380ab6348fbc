package io.yuccaswitch.core.membership;

/** Counts what happens in the membership. */
final class MembershipCounters {

    /** The exchanges that this node opened. */
    private long exchanges;

    /** The answers that it received. */
    private long answers;

    /** The suspicions that it raised itself. */
    private long suspicions;

    /** The suspected members that turned out to be alive. */
    private long refutedSuspicions;

    /** The members taken for dead that turned out to be alive. */
    private long refutedDeaths;

    /** The times that this node objected. */
    private long ownRefutations;

    /** The times that this node was paused. */
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
     * @param believed What had been believed of it.
     */
    void refuted(MemberCondition believed) {
        if (believed == MemberCondition.SUSPECTED) {
            refutedSuspicions++;
        } else if (believed == MemberCondition.DEAD) {
            refutedDeaths++;
        }
    }

    /** Counts an objection of this node. */
    void ownRefutation() {
        ownRefutations++;
    }

    /** Counts a pause of this node. */
    void pause() {
        pauses++;
    }

    /**
     * Returns what was counted.
     *
     * @return What was counted.
     */
    MembershipStatistics snapshot() {
        return new MembershipStatistics(
                exchanges, answers, suspicions, refutedSuspicions, refutedDeaths, ownRefutations, pauses);
    }
}
