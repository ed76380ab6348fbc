package io.yuccaswitch.core.membership;

/**
 * The counts of the membership since the process started.
 *
 * @param exchanges The exchanges that this node opened.
 * @param answers The answers that this node received.
 * @param suspicions The suspicions that this node raised.
 * @param refutedSuspicions The suspicions that were refuted in the same incarnation.
 * @param refutedDeaths The members that were declared dead and turned out to be alive in the same incarnation.
 * @param ownRefutations The times that this node refuted a row that superseded its own.
 * @param pauses The detected pauses of this node.
 */
public record MembershipStatistics(
        long exchanges,
        long answers,
        long suspicions,
        long refutedSuspicions,
        long refutedDeaths,
        long ownRefutations,
        long pauses) {}
