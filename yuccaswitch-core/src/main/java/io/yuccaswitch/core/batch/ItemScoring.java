package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The scoring of an item whose output is complete and whose score is outstanding. */
final class ItemScoring {

    /** The scoring request. */
    private final ScoringRequest request;

    /** The result, which lacks its score. */
    private final BatchResult unscored;

    /** The time since which the score has been outstanding. */
    private final MonotonicTime since;

    /** The attempts in progress, by number, in the order in which they started. */
    private final Map<Integer, Attempt> running = new LinkedHashMap<>();

    /** The losses of attempts under which endpoints may have ended. */
    private final LossBackoff losses = new LossBackoff();

    /** The number of the last attempt. */
    private int attempts;

    /** The number of attempts that may have run. */
    private int possibleRuns;

    /** The number of attempts at which an endpoint failed. */
    private int failures;

    /** The number of consecutive attempts that ended without a score. */
    private int misses;

    /** When the next attempt may start. */
    private MonotonicTime nextAt;

    /**
     * Creates a scoring without attempts.
     *
     * @param request The scoring request.
     * @param unscored The result, which lacks its score.
     * @param now The current time.
     * @param attemptBase The number that precedes the first attempt.
     */
    ItemScoring(ScoringRequest request, BatchResult unscored, MonotonicTime now, int attemptBase) {
        attempts = attemptBase;
        this.request = request;
        this.unscored = unscored;
        since = now;
        nextAt = now;
    }

    /**
     * Returns the scoring request.
     *
     * @return The request.
     */
    ScoringRequest request() {
        return request;
    }

    /**
     * Returns the result, which lacks its score.
     *
     * @return The result.
     */
    BatchResult unscored() {
        return unscored;
    }

    /**
     * Returns the time since which the score has been outstanding.
     *
     * @return The time at which the output was complete.
     */
    MonotonicTime since() {
        return since;
    }

    /**
     * Starts an attempt.
     *
     * @param endpoint The endpoint.
     * @param now The current time.
     * @return The number of the attempt.
     */
    int begin(RegisteredEndpoint endpoint, MonotonicTime now) {
        attempts++;
        running.put(attempts, new Attempt(attempts, endpoint, now));
        return attempts;
    }

    /**
     * Ends an attempt.
     *
     * @param attempt The number of the attempt.
     * @return The attempt, or empty if it is not in progress.
     */
    Optional<Attempt> end(int attempt) {
        return Optional.ofNullable(running.remove(attempt));
    }

    /**
     * Ends all attempts.
     *
     * @return Those that were in progress.
     */
    List<Attempt> endAll() {
        List<Attempt> ended = running();
        running.clear();
        return ended;
    }

    /**
     * Returns the attempts in progress.
     *
     * @return The attempts, the oldest first.
     */
    List<Attempt> running() {
        return new ArrayList<>(running.values());
    }

    /** Counts an attempt that may have run. */
    void countPossibleRun() {
        possibleRuns++;
    }

    /**
     * Returns the number of attempts that may have run or are in progress.
     *
     * @return The number.
     */
    int possibleRuns() {
        return possibleRuns + running.size();
    }

    /**
     * Counts an attempt that ended without a score.
     *
     * @return The number of consecutive such attempts.
     */
    int countMiss() {
        misses++;
        return misses;
    }

    /**
     * Delays the next attempt.
     *
     * @param until When it may start.
     */
    void waitUntil(MonotonicTime until) {
        nextAt = until;
    }

    /**
     * Returns whether the next attempt may start.
     *
     * @param now The current time.
     * @return {@code true} unless it is delayed.
     */
    boolean mayBegin(MonotonicTime now) {
        return !now.isBefore(nextAt);
    }

    /**
     * Counts an attempt at which an endpoint failed.
     *
     * @return The number of such attempts.
     */
    int countFailure() {
        failures++;
        return failures;
    }

    /**
     * Returns the losses of attempts under which endpoints may have ended, which delay further attempts.
     *
     * @return The losses.
     */
    LossBackoff losses() {
        return losses;
    }

    /**
     * An attempt in progress.
     *
     * @param number The number of the attempt, counted from 1.
     * @param endpoint The endpoint.
     * @param startedAt When it started.
     */
    record Attempt(int number, RegisteredEndpoint endpoint, MonotonicTime startedAt) {}
}
