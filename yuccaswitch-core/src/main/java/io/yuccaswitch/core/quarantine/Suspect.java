package io.yuccaswitch.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A request that endpoints were processing when they terminated. The merge of two nodes' states is commutative,
 * associative and idempotent.
 *
 * @param fingerprint The fingerprint of the request.
 * @param description The method, host and path, for operators.
 * @param crashEvidence The evidence of terminated endpoints since the request was last cleared, the oldest first.
 * @param trialAt When it was last let through after a hold, in milliseconds since the epoch, or zero.
 * @param clearedAt When an endpoint last answered it, or an operator released it, in milliseconds since the epoch, or
 *     zero.
 */
public record Suspect(
        RequestFingerprint fingerprint,
        String description,
        List<CrashEvidence> crashEvidence,
        long trialAt,
        long clearedAt) {

    /**
     * The maximum amount of evidence that is kept. Evidence beyond the number that changes the verdict carries no
     * information.
     */
    static final int MAXIMUM_EVIDENCE = 12;

    /** The maximum length of a description, in characters. */
    private static final int MAXIMUM_DESCRIPTION = 120;

    /** Copies the evidence, drops what was cleared, and truncates the rest to the maximum. */
    public Suspect {
        crashEvidence = bounded(crashEvidence, clearedAt);
        description = description.length() <= MAXIMUM_DESCRIPTION
                ? description
                : description.substring(0, MAXIMUM_DESCRIPTION);
    }

    /**
     * Creates a suspect without evidence.
     *
     * @param fingerprint The fingerprint of the request.
     * @param description The method, host and path, for operators.
     */
    Suspect(RequestFingerprint fingerprint, String description) {
        this(fingerprint, description, List.of(), 0, 0);
    }

    /**
     * Returns the suspect with evidence added.
     *
     * @param evidence The evidence.
     * @return The suspect.
     */
    Suspect withEvidence(CrashEvidence evidence) {
        return new Suspect(fingerprint, description, union(crashEvidence, List.of(evidence)), trialAt, clearedAt);
    }

    /**
     * Returns the suspect with only some of its evidence.
     *
     * @param kept The evidence that remains.
     * @return The suspect.
     */
    Suspect withEvidenceOnly(List<CrashEvidence> kept) {
        return new Suspect(fingerprint, description, kept, trialAt, clearedAt);
    }

    /**
     * Returns the suspect after it was let through for a trial.
     *
     * @param at When, in milliseconds since the epoch.
     * @return The suspect.
     */
    Suspect withTrial(long at) {
        return new Suspect(fingerprint, description, crashEvidence, Math.max(trialAt, at), clearedAt);
    }

    /**
     * Returns the suspect after it was cleared.
     *
     * @param at When, in milliseconds since the epoch.
     * @return The suspect, without earlier evidence.
     */
    Suspect withClearance(long at) {
        return new Suspect(fingerprint, description, crashEvidence, trialAt, Math.max(clearedAt, at));
    }

    /**
     * Merges the states of a suspect at two nodes.
     *
     * @param other The state at the other node.
     * @return The suspect.
     */
    Suspect merge(Suspect other) {
        return new Suspect(
                fingerprint,
                description.isEmpty() ? other.description : description,
                union(crashEvidence, other.crashEvidence),
                Math.max(trialAt, other.trialAt),
                Math.max(clearedAt, other.clearedAt));
    }

    /**
     * Returns the number of endpoints that are known to have terminated while they processed it.
     *
     * @return The number.
     */
    public int count() {
        return (int) crashEvidence.stream().filter(CrashEvidence::certain).count();
    }

    /**
     * Returns when an endpoint last terminated while it processed the request.
     *
     * @return The time in milliseconds since the epoch, or zero without evidence.
     */
    public long lastCrashAt() {
        return crashEvidence.isEmpty()
                ? 0
                : crashEvidence.get(crashEvidence.size() - 1).at();
    }

    /**
     * Returns the time of the last change.
     *
     * @return The time in milliseconds since the epoch.
     */
    long changedAt() {
        return Math.max(lastCrashAt(), Math.max(trialAt, clearedAt));
    }

    /**
     * Merges two lists of evidence.
     *
     * @param first A list.
     * @param second Another list.
     * @return The evidence of both lists, with each termination once.
     */
    private static List<CrashEvidence> union(List<CrashEvidence> first, List<CrashEvidence> second) {
        List<CrashEvidence> merged = new ArrayList<>(first);
        for (CrashEvidence evidence : second) {
            int same = indexOf(merged, evidence);
            if (same < 0) {
                merged.add(evidence);
            } else {
                merged.set(same, merged.get(same).merge(evidence));
            }
        }
        return merged;
    }

    /**
     * Finds evidence of the same termination.
     *
     * @param entries The list to search.
     * @param evidence The evidence to find.
     * @return Its index, or -1 if there is none.
     */
    private static int indexOf(List<CrashEvidence> entries, CrashEvidence evidence) {
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).isSameTermination(evidence)) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Sorts evidence, drops what was cleared, and truncates it to the maximum.
     *
     * @param entries The evidence.
     * @param clearedAt When the request was last cleared.
     * @return The newest evidence that was not cleared, the oldest first.
     */
    private static List<CrashEvidence> bounded(List<CrashEvidence> entries, long clearedAt) {
        List<CrashEvidence> uncleared = entries.stream()
                .filter(evidence -> evidence.at() > clearedAt)
                .sorted(Comparator.comparingLong(CrashEvidence::at).thenComparing(CrashEvidence::endpoint))
                .toList();
        return uncleared.subList(Math.max(0, uncleared.size() - MAXIMUM_EVIDENCE), uncleared.size());
    }
}
