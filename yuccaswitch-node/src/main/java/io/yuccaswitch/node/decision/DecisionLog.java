package io.yuccaswitch.node.decision;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.yuccaswitch.core.decision.Decision;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/** Writes a log line for each decision, and keeps the latest decisions for explanation. */
public final class DecisionLog {

    /** The number of subjects whose decisions are kept. */
    private static final int SUBJECTS = 2048;

    /** The number of decisions that are kept for a subject. */
    private static final int DECISIONS_PER_SUBJECT = 32;

    /** The number of candidates that a log line names. */
    private static final int CANDIDATES_PER_LINE = 8;

    /** The logger of decisions. */
    private static final Logger LOGGER = Logger.getLogger("io.yuccaswitch.decision");

    /** The latest decisions by their subjects. */
    private final Cache<String, List<Decision>> decisions =
            CacheBuilder.newBuilder().maximumSize(SUBJECTS).build();

    /**
     * Logs and keeps a decision.
     *
     * @param decision The decision.
     */
    public void record(Decision decision) {
        write(decision);
        decisions.asMap().merge(decision.subject(), List.of(decision), DecisionLog::append);
    }

    /**
     * Writes a decision's line without keeping the decision.
     *
     * @param decision The decision.
     */
    public static void write(Decision decision) {
        LOGGER.info("event=decision kind=" + decision.kind() + " subject=" + decision.subject() + " choice="
                + decision.choice() + " reason=\"" + decision.reason() + "\" candidates="
                + describe(decision.candidates()));
    }

    /**
     * Returns the decisions on a subject.
     *
     * @param subject The subject, such as a request id.
     * @return The decisions on this subject that are still kept, the oldest first.
     */
    public List<Decision> explain(String subject) {
        List<Decision> kept = decisions.getIfPresent(subject);
        return kept == null ? List.of() : kept;
    }

    /**
     * Appends decisions to earlier ones, dropping the oldest ones past the bound.
     *
     * @param earlier The earlier decisions.
     * @param later The decisions to append.
     * @return The joined decisions.
     */
    private static List<Decision> append(List<Decision> earlier, List<Decision> later) {
        List<Decision> joined = new ArrayList<>(earlier);
        joined.addAll(later);
        int surplus = Math.max(0, joined.size() - DECISIONS_PER_SUBJECT);
        return List.copyOf(joined.subList(surplus, joined.size()));
    }

    /**
     * Describes candidates for a log line.
     *
     * @param candidates The candidates.
     * @return The names and scores of the first candidates.
     */
    private static String describe(List<Decision.Candidate> candidates) {
        if (candidates.isEmpty()) {
            return "[]";
        }
        return candidates.stream()
                .limit(CANDIDATES_PER_LINE)
                .map(candidate -> String.format("%s:%.3f", candidate.name(), candidate.score()))
                .collect(Collectors.joining(",", "[", "]"));
    }
}
