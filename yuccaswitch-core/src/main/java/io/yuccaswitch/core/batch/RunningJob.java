package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** A job that this node runs. */
final class RunningJob {

    /** The job. */
    private final BatchJob job;

    /** The items whose results are not listed, ordered by descending expected length. */
    private final Map<String, RunningItem> items = new LinkedHashMap<>();

    /** The engine that last ran an item of each group, which has the group's prompt in its cache. */
    private final Map<String, EndpointName> lastEngines = new HashMap<>();

    /** The deadline of the job, after which the remaining items are abandoned. */
    private final MonotonicTime deadline;

    /** What the caller states about the lengths of the items, once it was needed. */
    private Optional<LengthHints> lengthHints = Optional.empty();

    /** The highest number of the attempts that preceded the first attempt of this run, once there was one. */
    private OptionalInt attemptsBefore = OptionalInt.empty();

    /** The number of the next object with texts in progress. */
    private int textObjects;

    /** The time since which free slots have continuously been left to an earlier job, if they are. */
    private Optional<MonotonicTime> yieldingSince = Optional.empty();

    /** When this node started to run the job. */
    private final MonotonicTime startedAt;

    /** Whether a write of results to the platform is in progress. */
    private boolean committing;

    /**
     * When the platform last answered a write of results, or when the delay before the next write starts after a
     * failure.
     */
    private MonotonicTime commitAt;

    /**
     * Creates a job without started items.
     *
     * @param job The job.
     * @param log The results that are already listed.
     * @param now The current time.
     * @param deadline The deadline of the job.
     */
    RunningJob(BatchJob job, ResultLog log, MonotonicTime now, MonotonicTime deadline) {
        startedAt = now;
        this.job = job;
        this.deadline = deadline;
        commitAt = now;
        List<BatchItem> ordered = new ArrayList<>(job.items());
        ordered.sort(Comparator.comparingLong(BatchItem::expectedTokens).reversed());
        for (BatchItem item : ordered) {
            if (!log.contains(item.id())) {
                items.put(item.id(), new RunningItem(item));
            }
        }
    }

    /**
     * Returns the job.
     *
     * @return The job.
     */
    BatchJob job() {
        return job;
    }

    /**
     * Returns what the caller states about the lengths of the items.
     *
     * @return The hints.
     */
    LengthHints lengthHints() {
        if (lengthHints.isEmpty()) {
            lengthHints = Optional.of(LengthHints.of(job.items()));
        }
        return lengthHints.get();
    }

    /**
     * Returns the items whose results are not listed.
     *
     * @return The items.
     */
    List<RunningItem> items() {
        return List.copyOf(items.values());
    }

    /**
     * Records whether free slots are left to an earlier job, and returns whether that has continued for the maximum
     * time.
     *
     * @param yielding Whether free slots are left to an earlier job.
     * @param now The current time.
     * @param maximum The maximum time for which they may continuously be left.
     * @return {@code true} if they have been left for that long.
     */
    boolean hasYielded(boolean yielding, MonotonicTime now, Duration maximum) {
        if (!yielding) {
            yieldingSince = Optional.empty();
            return false;
        }
        yieldingSince = Optional.of(yieldingSince.orElse(now));
        return now.since(yieldingSince.get()).compareTo(maximum) >= 0;
    }

    /**
     * Returns when this node started to run the job.
     *
     * @return The time.
     */
    MonotonicTime startedAt() {
        return startedAt;
    }

    /**
     * Returns the items that wait for a slot at an engine.
     *
     * @return The items, in the order in which they are run.
     */
    List<RunningItem> waiting() {
        return items.values().stream().filter(RunningItem::isWaiting).toList();
    }

    /**
     * Finds an item whose result is not listed.
     *
     * @param id The item's identifier.
     * @return The item.
     */
    Optional<RunningItem> find(String id) {
        return Optional.ofNullable(items.get(id));
    }

    /**
     * Resumes an item after one of the texts that earlier runners stored.
     *
     * @param id The item's identifier.
     * @param texts The texts, the preferred ones first.
     * @return Whether the item resumes after a text, which requires that it still needs a result and that the versions
     *     of the text are allowed.
     */
    boolean resume(String id, List<ItemText> texts) {
        Optional<RunningItem> item = find(id);
        return item.isPresent() && texts.stream().anyMatch(text -> item.get().resume(text, job.minimumVersion()));
    }

    /**
     * Removes items whose results are listed.
     *
     * @param listed The results.
     */
    void removeListed(List<BatchResult> listed) {
        listed.forEach(result -> items.remove(result.item()));
    }

    /**
     * Returns the results that are not listed yet.
     *
     * @return The results.
     */
    List<BatchResult> pending() {
        List<BatchResult> pending = new ArrayList<>();
        items.values().forEach(item -> item.result().ifPresent(pending::add));
        return pending;
    }

    /**
     * Returns whether unlisted results complete a group. Readers of a job use complete groups.
     *
     * @return {@code true} if all items of a group with unlisted results have results.
     */
    boolean hasCompleteGroupPending() {
        Set<String> open = new HashSet<>();
        Set<String> pending = new HashSet<>();
        for (RunningItem item : items.values()) {
            (item.result().isPresent() ? pending : open).add(item.item().group());
        }
        pending.removeAll(open);
        return !pending.isEmpty();
    }

    /**
     * Returns whether all items have results.
     *
     * @return {@code true} if no item waits, runs or is being scored.
     */
    boolean isFinished() {
        return items.values().stream().allMatch(item -> item.result().isPresent());
    }

    /**
     * Returns whether the deadline of the job has passed.
     *
     * @param now The current time.
     * @return {@code true} if the remaining items have to be abandoned.
     */
    boolean isOverdue(MonotonicTime now) {
        return !now.isBefore(deadline);
    }

    /**
     * Returns the deadline of the job.
     *
     * @return The time.
     */
    MonotonicTime deadline() {
        return deadline;
    }

    /**
     * Allocates the number of an item's next attempt. The numbers of an item's attempts differ from those of an earlier
     * run of the job at this node, whose attempts may end after the job has started again.
     *
     * @param item The item.
     * @param highest The highest number of all attempts at this node.
     * @return The number.
     */
    int nextAttempt(RunningItem item, int highest) {
        if (attemptsBefore.isEmpty()) {
            attemptsBefore = OptionalInt.of(highest);
        }
        return attemptsBefore.getAsInt() + item.attempts() + 1;
    }

    /**
     * Allocates the number of the next object with texts in progress.
     *
     * @return The number.
     */
    int nextTextObject() {
        return textObjects++;
    }

    /**
     * Skips the numbers of objects with texts in progress that an earlier runner wrote.
     *
     * @param next The number of the next object.
     */
    void skipTextObjects(int next) {
        textObjects = Math.max(textObjects, next);
    }

    /**
     * Returns the engine that last ran an item of a group.
     *
     * @param group The group.
     * @return The engine, or empty if none did.
     */
    Optional<EndpointName> lastEngine(String group) {
        return Optional.ofNullable(lastEngines.get(group));
    }

    /**
     * Records that an engine runs an item of a group.
     *
     * @param group The group.
     * @param endpoint The engine.
     */
    void setLastEngine(String group, EndpointName endpoint) {
        lastEngines.put(group, endpoint);
    }

    /**
     * Returns whether results may be written to the platform.
     *
     * @param now The current time.
     * @param delay The delay after the last write of results.
     * @return {@code true} if no write is in progress and the delay has passed.
     */
    boolean mayCommit(MonotonicTime now, Duration delay) {
        return !committing && !now.isBefore(commitAt.plus(delay));
    }

    /** Records that a write of results has started. */
    void beginCommit() {
        committing = true;
    }

    /**
     * Records that the platform answered, or that no answer is expected any more.
     *
     * @param at When the delay before the next write starts.
     */
    void endCommit(MonotonicTime at) {
        committing = false;
        commitAt = at;
    }
}
