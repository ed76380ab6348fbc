package io.yuccaswitch.core.membership;

/**
 * What the membership counted since the process started.
 *
 * @param exchanges The exchanges that this node opened.
 * @param answers The answers that it received.
 * @param suspicions The suspicions that it raised itself.
 * @param refutedSuspicions The suspected members that turned out to be alive in the same incarnation.
 * @param refutedDeaths The members taken for dead that turned out to be alive in the same incarnation.
 * @param ownRefutations The times that this node objected to being suspected or taken for dead.
 * @param pauses The times that this node found that it had not run for a while.
 */
public record MembershipStatistics(
        long exchanges,
        long answers,
        long suspicions,
        long refutedSuspicions,
        long refutedDeaths,
        long ownRefutations,
        long pauses) {}
