package io.yuccaswitch.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A request under which endpoints ended. Nodes merge what they know of it in any order and as often as they like.
 *
 * @param fingerprint What recognises the request.
 * @param description The method, host and path, for operators.
 * @param strikes The endpoints that ended under it since it was last cleared, the oldest first.
 * @param trialAt When it was last let through after it had been held, in milliseconds since the epoch, or zero.
 * @param clearedAt When an endpoint last answered it, or an operator let it go, in milliseconds since the epoch, or
 *     zero.
 */
public record Suspect(
        RequestFingerprint fingerprint, String description, List<Strike> strikes, long trialAt, long clearedAt) {

    /** The largest number of strikes that are kept. All beyond those that change the judgement tell nothing. */
    static final int MAXIMUM_STRIKES = 12;

    /** The largest length of a description, in characters. */
    private static final int MAXIMUM_DESCRIPTION = 120;

    /** Copies the strikes, drops those that were cleared, and bounds the rest. */
    public Suspect {
        strikes = bounded(strikes, clearedAt);
        description = description.length() <= MAXIMUM_DESCRIPTION
                ? description
                : description.substring(0, MAXIMUM_DESCRIPTION);
    }

    /**
     * Creates a suspect under which no endpoint has ended.
     *
     * @param fingerprint What recognises the request.
     * @param description The method, host and path, for operators.
     */
    Suspect(RequestFingerprint fingerprint, String description) {
        this(fingerprint, description, List.of(), 0, 0);
    }

    /**
     * Returns the suspect after an endpoint ended under it.
     *
     * @param strike The endpoint.
     * @return The suspect.
     */
    Suspect withStrike(Strike strike) {
        return new Suspect(fingerprint, description, union(strikes, List.of(strike)), trialAt, clearedAt);
    }

    /**
     * Returns the suspect with fewer strikes.
     *
     * @param kept The strikes that remain.
     * @return The suspect.
     */
    Suspect withStrikes(List<Strike> kept) {
        return new Suspect(fingerprint, description, kept, trialAt, clearedAt);
    }

    /**
     * Returns the suspect after it was let through.
     *
     * @param at When, in milliseconds since the epoch.
     * @return The suspect.
     */
    Suspect withTrial(long at) {
        return new Suspect(fingerprint, description, strikes, Math.max(trialAt, at), clearedAt);
    }

    /**
     * Returns the suspect after it was cleared.
     *
     * @param at When, in milliseconds since the epoch.
     * @return The suspect, without strikes of before.
     */
    Suspect withClearance(long at) {
        return new Suspect(fingerprint, description, strikes, trialAt, Math.max(clearedAt, at));
    }

    /**
     * Returns what two nodes know together.
     *
     * @param other What the other node knows.
     * @return The suspect.
     */
    Suspect merge(Suspect other) {
        return new Suspect(
                fingerprint,
                description.isEmpty() ? other.description : description,
                union(strikes, other.strikes),
                Math.max(trialAt, other.trialAt),
                Math.max(clearedAt, other.clearedAt));
    }

    /**
     * Returns how many endpoints have surely ended under it.
     *
     * @return The number.
     */
    public int count() {
        return (int) strikes.stream().filter(Strike::certain).count();
    }

    /**
     * Returns when an endpoint last ended under it.
     *
     * @return The time in milliseconds since the epoch, or zero if none did.
     */
    public long lastStrikeAt() {
        return strikes.isEmpty() ? 0 : strikes.get(strikes.size() - 1).at();
    }

    /**
     * Returns when anything last happened to it.
     *
     * @return The time in milliseconds since the epoch.
     */
    long changedAt() {
        return Math.max(lastStrikeAt(), Math.max(trialAt, clearedAt));
    }

    /**
     * Merges two lists of strikes.
     *
     * @param first A list.
     * @param second Another list.
     * @return The strikes of both, each end once.
     */
    private static List<Strike> union(List<Strike> first, List<Strike> second) {
        List<Strike> merged = new ArrayList<>(first);
        for (Strike strike : second) {
            int same = indexOf(merged, strike);
            if (same < 0) {
                merged.add(strike);
            } else {
                merged.set(same, merged.get(same).merge(strike));
            }
        }
        return merged;
    }

    /**
     * Finds a strike that tells of the same end.
     *
     * @param strikes Where to look.
     * @param strike The strike.
     * @return Its index, or -1 if there is none.
     */
    private static int indexOf(List<Strike> strikes, Strike strike) {
        for (int i = 0; i < strikes.size(); i++) {
            if (strikes.get(i).isSameEnd(strike)) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Orders and bounds strikes.
     *
     * @param strikes The strikes.
     * @param clearedAt When they were last cleared.
     * @return The newest of those that count, the oldest first.
     */
    private static List<Strike> bounded(List<Strike> strikes, long clearedAt) {
        List<Strike> counting = strikes.stream()
                .filter(strike -> strike.at() > clearedAt)
                .sorted(Comparator.comparingLong(Strike::at).thenComparing(Strike::endpoint))
                .toList();
        return counting.subList(Math.max(0, counting.size() - MAXIMUM_STRIKES), counting.size());
    }
}
