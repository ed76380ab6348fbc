package io.yuccaswitch.core.decision;

import java.util.List;

/**
 * A decision and its reason, which is logged and shown by {@code yuccaswitch explain}.
 *
 * @param kind The kind of the decision, such as {@code route} or {@code place}.
 * @param subject The identifier of the subject, such as a request id.
 * @param choice The choice that was made, such as an endpoint's name, or {@code none}.
 * @param reason The reason for the choice, in a short sentence.
 * @param candidates The candidates that were considered, with their scores.
 */
public record Decision(String kind, String subject, String choice, String reason, List<Candidate> candidates) {

    /** The choice of a decision that selected nothing. */
    public static final String NO_CHOICE = "none";

    /** Copies the candidates. */
    public Decision {
        candidates = List.copyOf(candidates);
    }

    /**
     * Creates a decision without candidates.
     *
     * @param kind The kind of the decision.
     * @param subject The identifier of the subject.
     * @param choice The choice that was made.
     * @param reason The reason for the choice.
     * @return The decision.
     */
    public static Decision of(String kind, String subject, String choice, String reason) {
        return new Decision(kind, subject, choice, reason, List.of());
    }

    /**
     * A candidate of a decision.
     *
     * @param name The candidate's name.
     * @param score The candidate's score, where a lower score is better.
     */
    public record Candidate(String name, double score) {}
}
