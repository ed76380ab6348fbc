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
import java.util.Set;

/** A job that this node runs. */
final class RunningJob {

    /** The job. */
    private final BatchJob job;

    /** The items whose results are not listed, those that are expected to be long first. */
    private final Map<String, RunningItem> items = new LinkedHashMap<>();

    /** The engines that last ran an item of a group, which keep the group's prompt in their memory. */
    private final Map<String, EndpointName> groups = new HashMap<>();

    /** When the job is given up, as far as items are left. */
    private final MonotonicTime giveUpAt;

    /** The number of the next object with texts in progress. */
    private int textObjects;

    /** Since when free places were left to an earlier job in a row, if they are. */
    private Optional<MonotonicTime> yieldingSince = Optional.empty();

    /** When this node began to run the job. */
    private final MonotonicTime begunAt;

    /** Whether results are on their way to the platform. */
    private boolean committing;

    /** When the platform last answered on results, or when the next may be sent after a failure. */
    private MonotonicTime commitAt;

    /**
     * Creates a job of which nothing ran here.
     *
     * @param job The job.
     * @param log The results that are listed already.
     * @param now The present.
     * @param giveUpAt When the job is given up.
     */
    RunningJob(BatchJob job, ResultLog log, MonotonicTime now, MonotonicTime giveUpAt) {
        begunAt = now;
        this.job = job;
        this.giveUpAt = giveUpAt;
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
     * Returns the items whose results are not listed.
     *
     * @return The items.
     */
    List<RunningItem> items() {
        return List.copyOf(items.values());
    }

    /**
     * Notes whether free places are left to an earlier job, and returns whether that has lasted for long enough.
     *
     * @param yielding Whether they are.
     * @param now The present.
     * @param longest For how long they may be left in a row.
     * @return {@code true} if they were left for that long.
     */
    boolean hasYielded(boolean yielding, MonotonicTime now, Duration longest) {
        if (!yielding) {
            yieldingSince = Optional.empty();
            return false;
        }
        yieldingSince = Optional.of(yieldingSince.orElse(now));
        return now.since(yieldingSince.get()).compareTo(longest) >= 0;
    }

    /**
     * Returns when this node began to run the job.
     *
     * @return The time.
     */
    MonotonicTime begunAt() {
        return begunAt;
    }

    /**
     * Returns the items that wait for a place at an engine.
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
     * Lets an item go on behind a text that an earlier runner has kept.
     *
     * @param id The item's identifier.
     * @param text The text.
     * @return Whether it does, as it needs a result still and the text's versions are allowed.
     */
    boolean resume(String id, ItemText text) {
        return find(id).filter(item -> item.resume(text, job.minimumVersion())).isPresent();
    }

    /**
     * Drops items whose results are listed.
     *
     * @param listed The results.
     */
    void drop(List<BatchResult> listed) {
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
     * Returns whether a group has become whole with results that are not listed. Whoever reads a job uses whole groups.
     *
     * @return {@code true} if all items of such a group have results.
     */
    boolean hasWholeGroupPending() {
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
     * @return {@code true} if none waits or runs.
     */
    boolean isFinished() {
        return items.values().stream().allMatch(item -> item.result().isPresent());
    }

    /**
     * Returns whether the time for the job has passed.
     *
     * @param now The present.
     * @return {@code true} if what is left is to be given up.
     */
    boolean isOverdue(MonotonicTime now) {
        return !now.isBefore(giveUpAt);
    }

    /**
     * Returns when the job is given up.
     *
     * @return The time.
     */
    MonotonicTime giveUpAt() {
        return giveUpAt;
    }

    /**
     * Returns the number of the next object with texts in progress, which is handed out once.
     *
     * @return The number.
     */
    int nextTextObject() {
        return textObjects++;
    }

    /**
     * Notes how many objects with texts in progress there are from an earlier runner.
     *
     * @param count The number of the next one.
     */
    void countTextObjects(int count) {
        textObjects = Math.max(textObjects, count);
    }

    /**
     * Returns the engine that last ran an item of a group.
     *
     * @param group The group.
     * @return The engine, or empty if none did.
     */
    Optional<EndpointName> lastEngine(String group) {
        return Optional.ofNullable(groups.get(group));
    }

    /**
     * Notes that an engine runs an item of a group.
     *
     * @param group The group.
     * @param endpoint The engine.
     */
    void remember(String group, EndpointName endpoint) {
        groups.put(group, endpoint);
    }

    /**
     * Returns whether results may be sent to the platform.
     *
     * @param now The present.
     * @param pause The pause after the last results.
     * @return {@code true} if none are on their way and the pause has passed.
     */
    boolean mayCommit(MonotonicTime now, Duration pause) {
        return !committing && !now.isBefore(commitAt.plus(pause));
    }

    /** Notes that results are on their way. */
    void beginCommit() {
        committing = true;
    }

    /**
     * Notes that the platform answered, or that no answer will come.
     *
     * @param at From when on the pause before the next results counts.
     */
    void endCommit(MonotonicTime at) {
        committing = false;
        commitAt = at;
    }
}
