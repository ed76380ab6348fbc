package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;

/** An item of a job that this node runs, until its result is listed. */
final class RunningItem {

    /** The item. */
    private final BatchItem item;

    /** The number that precedes the first attempt. */
    private final int attemptBase;

    /** The number of the last attempt. */
    private int attempts;

    /** The number of attempts at which an engine failed. */
    private int failures;

    /** The losses of attempts under which engines may have ended. */
    private final LossBackoff losses = new LossBackoff();

    /** The load of the attempt in progress, if any. */
    private Optional<EngineLoads.Load> load = Optional.empty();

    /** Whether the attempt in progress is being cancelled so that the item resumes at another engine. */
    private boolean moving;

    /** The number of events of the attempt in progress at the last reading. */
    private long eventsRead;

    /** The duration of the answer of the attempt in progress at the last reading. */
    private Duration durationRead = Duration.ZERO;

    /** The expected length of the output in tokens, when it was last estimated. */
    private long expectedLength;

    /** The tokens of the output so far when the length was last estimated. */
    private long estimatedAtTokens = -1;

    /** The revision of the estimates when the length was last estimated. */
    private long estimatedAtRevision = -1;

    /** The events received so far. */
    private ItemText text = ItemText.EMPTY;

    /** How often received events were discarded. */
    private int discardedTexts;

    /** The scoring of the complete output while its score is outstanding. */
    private Optional<ItemScoring> scoring = Optional.empty();

    /** The result, once there is one. */
    private Optional<BatchResult> result = Optional.empty();

    /**
     * Creates a waiting item.
     *
     * @param item The item.
     * @param attemptBase The number that precedes the first attempt, such that the numbers of attempts differ from
     *     those of earlier runs of the job at this node, which may still end.
     */
    RunningItem(BatchItem item, int attemptBase) {
        this.item = item;
        this.attemptBase = attemptBase;
        attempts = attemptBase;
    }

    /**
     * Returns the item.
     *
     * @return The item.
     */
    BatchItem item() {
        return item;
    }

    /**
     * Returns whether the item waits for an engine.
     *
     * @return {@code true} if it neither runs, nor is being scored, nor has a result.
     */
    boolean isWaiting() {
        return load.isEmpty() && scoring.isEmpty() && result.isEmpty();
    }

    /**
     * Starts an attempt.
     *
     * @param begun The load of the attempt.
     * @return The number of the attempt.
     */
    int begin(EngineLoads.Load begun) {
        load = Optional.of(begun);
        moving = false;
        eventsRead = 0;
        durationRead = Duration.ZERO;
        attempts++;
        return attempts;
    }

    /**
     * Ends the attempt in progress.
     *
     * @return Its load, which the caller ends, or empty if no attempt was in progress.
     */
    Optional<EngineLoads.Load> stop() {
        Optional<EngineLoads.Load> before = load;
        load = Optional.empty();
        return before;
    }

    /**
     * Returns whether an attempt is the one in progress.
     *
     * @param attempt The number of the attempt.
     * @return {@code true} if it is.
     */
    boolean isCurrent(int attempt) {
        return load.isPresent() && attempts == attempt;
    }

    /**
     * Returns the number of the last attempt.
     *
     * @return The number.
     */
    int attempt() {
        return attempts;
    }

    /**
     * Returns the number of started attempts.
     *
     * @return The number.
     */
    int startedAttempts() {
        return attempts - attemptBase;
    }

    /** Records that the attempt in progress is being cancelled so that the item resumes at another engine. */
    void move() {
        moving = true;
    }

    /**
     * Returns whether the attempt in progress is being cancelled so that the item resumes at another engine.
     *
     * @return {@code true} if it is.
     */
    boolean isMoving() {
        return moving && load.isPresent();
    }

    /**
     * Returns the time of the current attempt that no reading covers yet.
     *
     * @param since The time since its answer started.
     * @return The time.
     */
    Duration unreadTime(Duration since) {
        return since.minus(durationRead);
    }

    /**
     * Records the progress of the current attempt.
     *
     * @param events The number of its events.
     * @param since The time since its answer started.
     * @return The progress since the last reading.
     */
    EngineRates.Reading read(long events, Duration since) {
        EngineRates.Reading reading = EngineRates.Reading.of(events - eventsRead, since.minus(durationRead));
        eventsRead = events;
        durationRead = since;
        return reading;
    }

    /**
     * Returns the number of events received so far, including those of the attempt in progress up to its last reading.
     *
     * @return The number.
     */
    long receivedEvents() {
        return text.lastEventId() + (load.isPresent() ? eventsRead : 0);
    }

    /**
     * Returns the rate of the attempt in progress until the last reading.
     *
     * @return The events per second, or 0 before the first reading.
     */
    double eventsPerSecond() {
        return durationRead.isZero() ? 0 : eventsRead * 1e9 / durationRead.toNanos();
    }

    /**
     * Returns the expected length of the output, which is estimated again only after a change.
     *
     * @param made The tokens of the output so far.
     * @param revision The revision of the estimates.
     * @param estimate Estimates the length.
     * @return The number of tokens.
     */
    long expectedLength(long made, long revision, LongSupplier estimate) {
        if (estimatedAtTokens != made || estimatedAtRevision != revision) {
            expectedLength = estimate.getAsLong();
            estimatedAtTokens = made;
            estimatedAtRevision = revision;
        }
        return expectedLength;
    }

    /**
     * Returns the engine that runs the item.
     *
     * @return The engine, or empty while it waits.
     */
    Optional<EndpointName> endpoint() {
        return load.map(EngineLoads.Load::engine);
    }

    /**
     * Returns the load of the attempt in progress.
     *
     * @return The load, or empty while the item waits.
     */
    Optional<EngineLoads.Load> load() {
        return load;
    }

    /**
     * Counts an attempt at which the engine failed.
     *
     * @return The number of such attempts.
     */
    int countFailure() {
        failures++;
        return failures;
    }

    /**
     * Returns the losses of attempts under which engines may have ended, which delay further attempts.
     *
     * @return The losses.
     */
    LossBackoff losses() {
        return losses;
    }

    /**
     * Returns the events received so far.
     *
     * @return The text.
     */
    ItemText text() {
        return text;
    }

    /**
     * Resumes after a text that an earlier runner stored, if its versions are allowed.
     *
     * @param stored The text.
     * @param minimumVersion The minimum allowed version.
     * @return Whether the item resumes after it.
     */
    boolean resume(ItemText stored, long minimumVersion) {
        boolean allowed = isWaiting()
                && !stored.isEmpty()
                && stored.versions().stream().allMatch(version -> version >= minimumVersion);
        if (allowed) {
            text = stored;
        }
        return allowed;
    }

    /**
     * Appends the events of an attempt that resumed after the text.
     *
     * @param continuation The events.
     */
    void appendText(ItemText continuation) {
        text = text.append(continuation);
    }

    /** Discards the events received so far: the next attempt starts from the beginning. */
    void discardText() {
        text = ItemText.EMPTY;
        discardedTexts++;
    }

    /**
     * Returns how often received events were discarded. Only texts with the same number continue each other.
     *
     * @return The number.
     */
    int discardedTexts() {
        return discardedTexts;
    }

    /**
     * Returns the result.
     *
     * @return The result, or empty while there is none.
     */
    Optional<BatchResult> result() {
        return result;
    }

    /**
     * Returns the scoring of the complete output.
     *
     * @return The scoring, or empty unless the score is outstanding.
     */
    Optional<ItemScoring> scoring() {
        return scoring;
    }

    /**
     * Starts waiting for the score of the complete output.
     *
     * @param request The scoring request.
     * @param unscored The result, which lacks its score.
     * @param now The current time.
     */
    void beginScoring(ScoringRequest request, BatchResult unscored, MonotonicTime now) {
        scoring = Optional.of(new ItemScoring(request, unscored, now, attemptBase));
        text = ItemText.EMPTY;
    }

    /**
     * Finishes the item.
     *
     * @param finished The result.
     */
    void finish(BatchResult finished) {
        result = Optional.of(finished);
        scoring = Optional.empty();
        text = ItemText.EMPTY;
    }
}
