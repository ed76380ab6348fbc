package io.yuccaswitch.node.decision;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.yuccaswitch.core.decision.Decision;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/** Logs decisions, and retains the latest ones so that they can be explained. */
public final class DecisionLog {

    /** The maximum number of subjects whose decisions are retained. */
    private static final int MAXIMUM_SUBJECTS = 2048;

    /** The maximum number of retained decisions of a subject. */
    private static final int MAXIMUM_DECISIONS_PER_SUBJECT = 32;

    /** The maximum number of candidates in a log line. */
    private static final int MAXIMUM_CANDIDATES_PER_LINE = 8;

    /** The logger of decisions. */
    private static final Logger LOGGER = Logger.getLogger("io.yuccaswitch.decision");

    /** The latest decisions by their subjects. */
    private final Cache<String, List<Decision>> decisions =
            CacheBuilder.newBuilder().maximumSize(MAXIMUM_SUBJECTS).build();

    /**
     * Logs and retains a decision.
     *
     * @param decision The decision.
     */
    public void record(Decision decision) {
        write(decision);
        decisions.asMap().merge(decision.subject(), List.of(decision), DecisionLog::append);
    }

    /**
     * Logs a decision without retaining it.
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
     * @return The retained decisions on this subject, the oldest first.
     */
    public List<Decision> explain(String subject) {
        List<Decision> retained = decisions.getIfPresent(subject);
        return retained == null ? List.of() : retained;
    }

    /**
     * Appends decisions to earlier ones, and drops the oldest ones beyond the maximum.
     *
     * @param earlier The earlier decisions.
     * @param later The decisions to append.
     * @return The joined decisions.
     */
    private static List<Decision> append(List<Decision> earlier, List<Decision> later) {
        List<Decision> joined = new ArrayList<>(earlier);
        joined.addAll(later);
        int surplus = Math.max(0, joined.size() - MAXIMUM_DECISIONS_PER_SUBJECT);
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
                .limit(MAXIMUM_CANDIDATES_PER_LINE)
                .map(candidate -> String.format("%s:%.3f", candidate.name(), candidate.score()))
                .collect(Collectors.joining(",", "[", "]"));
    }
}
