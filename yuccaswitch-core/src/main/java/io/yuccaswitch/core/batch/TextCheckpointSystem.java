package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Stores the texts of long items on the platform as they grow, each time only the added part. This limits the loss when
 * all nodes fail at once: the longest items determine when a step ends, and restarting them from the beginning would
 * delay it by up to their full 7 s.
 *
 * <p>A node that was considered dead may store events while its successor does the same. Therefore each runner stores
 * the texts of its own from their beginnings, including what it resumed after, and never continues those of another.
 */
final class TextCheckpointSystem implements DecisionSystem {

    /** The delay before a job's first checkpoint. Most items complete within it. */
    private static final Duration INITIAL_DELAY = Duration.ofSeconds(1);

    /**
     * The interval between two checkpoints of a job. Each checkpoint is an additional platform call (three or four of
     * about a hundred per step); events since the last one are lost in a failure.
     */
    private static final Duration CHECKPOINT_INTERVAL = Duration.ofSeconds(2);

    /** The delay after a failed call. */
    private static final Duration FAILURE_DELAY = Duration.ofMillis(500);

    /** The maximum size of the events in one object, in bytes. Encoded, they stay well below a megabyte. */
    private static final long MAXIMUM_OBJECT_BYTES = 450_000;

    /** The tables of the batch system. */
    private final BatchState state;

    /** The stored texts of the jobs that this node runs. */
    private final Map<BatchJobId, JobTexts> textsByJob = new HashMap<>();

    /**
     * Creates a system without texts.
     *
     * @param state The tables of the batch system.
     */
    TextCheckpointSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        textsByJob.entrySet().removeIf(texts -> !isCurrent(texts.getKey(), texts.getValue()));
        tick.events(BatchEvent.TextGrown.class).forEach(grown -> handle(tick, grown));
        tick.events(BatchEvent.AttemptEnded.class).forEach(ended -> handleAttemptEnd(tick, ended));
        textsByJob.forEach((id, texts) -> writeIfDue(tick, id, texts));
    }

    /**
     * Returns whether texts belong to the current run of a job, which may have been stopped and started again.
     *
     * @param id The job.
     * @param texts The texts.
     * @return {@code true} if they do.
     */
    private boolean isCurrent(BatchJobId id, JobTexts texts) {
        return state.running().find(id).filter(job -> job == texts.job).isPresent();
    }

    /**
     * Handles the events that an attempt in progress has added to a text.
     *
     * @param tick The tick.
     * @param grown The added events.
     */
    private void handle(Tick tick, BatchEvent.TextGrown grown) {
        Optional<RunningJob> job = state.running().find(grown.id());
        Optional<RunningItem> item =
                job.flatMap(found -> found.find(grown.item())).filter(found -> found.isCurrent(grown.attempt()));
        if (item.isEmpty()) {
            return;
        }
        ItemText before = item.get().text();
        JobTexts texts = texts(tick, job.get());
        boolean follows = texts.find(grown.item())
                .filter(chain -> chain.lastEventId() == grown.after())
                .isPresent();
        if (follows) {
            texts.add(grown.item(), grown.attempt(), grown.part());
        } else if (grown.after() == before.lastEventId()) {
            texts.begin(item.get(), grown.attempt(), before.append(grown.part()));
        }
    }

    /**
     * Handles the end of an attempt: adds the remaining events of an interrupted item, as the next attempt resumes
     * after all of them, or drops the text of an item that needs none any more.
     *
     * @param tick The tick.
     * @param ended The end of the attempt, which the item has already processed.
     */
    private void handleAttemptEnd(Tick tick, BatchEvent.AttemptEnded ended) {
        Optional<RunningJob> job = state.running().find(ended.id());
        if (job.isEmpty()) {
            return;
        }
        Optional<RunningItem> item = job.get().find(ended.item());
        ItemText text = item.map(RunningItem::text).orElse(ItemText.EMPTY);
        JobTexts texts = texts(tick, job.get());
        Optional<TextChain> chain = texts.find(ended.item());
        if (text.isEmpty()) {
            texts.drop(ended.item());
        } else if (chain.isEmpty()) {
            texts.begin(item.get(), ended.attempt(), text);
        } else if (chain.get().attempt() != ended.attempt()
                && item.get().isCurrent(chain.get().attempt())) {
            return;
        } else if (chain.get().lastEventId() <= text.lastEventId()) {
            texts.add(
                    ended.item(), ended.attempt(), text.eventsAfter(chain.get().lastEventId()));
        } else {
            texts.begin(item.get(), ended.attempt(), text);
        }
    }

    /**
     * Returns the texts of a job.
     *
     * @param tick The tick.
     * @param job The job.
     * @return The texts.
     */
    private JobTexts texts(Tick tick, RunningJob job) {
        return textsByJob.computeIfAbsent(
                job.job().id(), _id -> new JobTexts(job, tick.now().plus(INITIAL_DELAY)));
    }

    /**
     * Writes the unwritten events of a job if a checkpoint is due.
     *
     * @param tick The tick.
     * @param id The job.
     * @param texts The texts of the job.
     */
    private void writeIfDue(Tick tick, BatchJobId id, JobTexts texts) {
        if (texts.writing || texts.unwritten.isEmpty() || tick.now().isBefore(texts.dueAt)) {
            return;
        }
        List<Writing> parts = texts.take();
        int number = texts.job.nextTextObject();
        texts.writing = true;
        state.write(
                tick,
                BatchObjects.texts(id, number),
                OptionalLong.empty(),
                state.codec().writeTexts(parts.stream().map(Writing::part).toList()),
                (later, event) -> receive(later, id, texts, parts, number, event));
    }

    /**
     * Handles the platform's answer. Parts that are not known to be stored are written again; a reader skips events
     * that it already has.
     *
     * @param tick The tick.
     * @param id The job.
     * @param texts The texts of the job.
     * @param parts The written parts.
     * @param number The number of the object.
     * @param event The answer.
     */
    private static void receive(
            Tick tick, BatchJobId id, JobTexts texts, List<Writing> parts, int number, PlatformEvent event) {
        boolean stored = event instanceof PlatformEvent.Accepted;
        texts.writing = false;
        texts.dueAt = tick.now().plus(stored ? CHECKPOINT_INTERVAL : FAILURE_DELAY);
        if (stored) {
            parts.forEach(writing -> writing.chain().recordStored(writing.part(), number));
        } else {
            parts.forEach(texts::putBack);
        }
        long beginnings =
                parts.stream().filter(writing -> writing.part().isBeginning()).count();
        tick.decide(Decision.of(
                "batch-texts",
                id.value(),
                stored ? "kept" : "not kept",
                "object " + number + " with parts of " + parts.size() + " texts, " + beginnings
                        + " of them beginnings, " + event.getClass().getSimpleName()));
    }

    /** The stored texts of one run of a job. */
    private static final class JobTexts {

        /** The run of the job. */
        private final RunningJob job;

        /** The current text of each item. */
        private final Map<String, TextChain> chains = new HashMap<>();

        /** The texts with unwritten events, in the order in which they are written. */
        private final Set<TextChain> unwritten = new LinkedHashSet<>();

        /** When the next checkpoint is due. */
        private MonotonicTime dueAt;

        /** Whether a checkpoint is being written. */
        private boolean writing;

        /**
         * Creates an empty table.
         *
         * @param job The run of the job.
         * @param dueAt When the first checkpoint is due.
         */
        private JobTexts(RunningJob job, MonotonicTime dueAt) {
            this.job = job;
            this.dueAt = dueAt;
        }

        /**
         * Returns the current text of an item.
         *
         * @param item The item.
         * @return The text, or empty if it has none.
         */
        private Optional<TextChain> find(String item) {
            return Optional.ofNullable(chains.get(item)).filter(TextChain::isCurrent);
        }

        /**
         * Begins a text of an item in place of the current one.
         *
         * @param item The item.
         * @param attempt The number of the attempt.
         * @param text The complete text.
         */
        private void begin(RunningItem item, int attempt, ItemText text) {
            String id = item.item().id();
            drop(id);
            chains.put(id, new TextChain(item));
            add(id, attempt, text);
        }

        /**
         * Adds events to the current text of an item.
         *
         * @param item The item.
         * @param attempt The number of the attempt.
         * @param events The events.
         */
        private void add(String item, int attempt, ItemText events) {
            TextChain chain = chains.get(item);
            chain.add(attempt, events);
            if (!events.isEmpty()) {
                unwritten.add(chain);
            }
        }

        /**
         * Drops the current text of an item.
         *
         * @param item The item.
         */
        private void drop(String item) {
            TextChain dropped = chains.remove(item);
            if (dropped != null) {
                unwritten.remove(dropped);
            }
        }

        /**
         * Removes as many unwritten events as fit in one object.
         *
         * @return The parts.
         */
        private List<Writing> take() {
            List<Writing> taken = new ArrayList<>();
            long bytes = 0;
            for (TextChain chain : List.copyOf(unwritten)) {
                bytes += chain.unwrittenBytes();
                if (!taken.isEmpty() && bytes > MAXIMUM_OBJECT_BYTES) {
                    break;
                }
                unwritten.remove(chain);
                chain.take().ifPresent(part -> taken.add(new Writing(chain, part)));
            }
            return taken;
        }

        /**
         * Puts a part back that is not known to be stored, unless its text was dropped in the meantime.
         *
         * @param writing The part.
         */
        private void putBack(Writing writing) {
            if (chains.get(writing.part().item()) == writing.chain()) {
                writing.chain().putBack(writing.part());
                unwritten.add(writing.chain());
            }
        }
    }

    /**
     * A part that is being written.
     *
     * @param chain The text that it belongs to.
     * @param part The part.
     */
    private record Writing(TextChain chain, TextPart part) {}
}
