package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Stores the texts of long items on the platform as they grow, each time only the added part. This limits the loss when
 * all nodes fail at once: the longest items determine when a step ends, and restarting them from the beginning would
 * delay it by up to their full 7 s.
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

    /** The parts that have to be stored, by job. */
    private final Map<BatchJobId, Pending> pendingByJob = new HashMap<>();

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
        tick.events(BatchEvent.TextGrown.class).forEach(grown -> handle(tick, grown));
        tick.events(BatchEvent.AttemptEnded.class).forEach(ended -> handleAttemptEnd(tick, ended));
        pendingByJob.keySet().removeIf(id -> !state.running().contains(id));
        pendingByJob.forEach((id, pending) -> writeIfDue(tick, id, pending));
    }

    /**
     * Handles the events that an attempt in progress has added to a text.
     *
     * @param tick The tick.
     * @param grown The added events.
     */
    private void handle(Tick tick, BatchEvent.TextGrown grown) {
        boolean current = state.running()
                .find(grown.id())
                .flatMap(job -> job.find(grown.item()))
                .filter(item -> item.isCurrent(grown.attempt()))
                .isPresent();
        if (current) {
            add(tick, grown.id(), new TextPart(grown.item(), grown.after(), grown.part()));
        }
    }

    /**
     * Handles the end of an attempt: adds the full text of an interrupted item, as the next attempt resumes after all
     * of it, or drops the part of an item that needs no text any more.
     *
     * @param tick The tick.
     * @param ended The end of the attempt, which the item has already processed.
     */
    private void handleAttemptEnd(Tick tick, BatchEvent.AttemptEnded ended) {
        Optional<ItemText> text = state.running()
                .find(ended.id())
                .flatMap(job -> job.find(ended.item()))
                .map(RunningItem::text)
                .filter(stored -> !stored.isEmpty());
        if (text.isPresent()) {
            add(tick, ended.id(), new TextPart(ended.item(), 0, text.get()));
        } else if (pendingByJob.containsKey(ended.id())) {
            pendingByJob.get(ended.id()).parts.remove(ended.item());
        }
    }

    /**
     * Adds a part that has to be stored.
     *
     * @param tick The tick.
     * @param id The job.
     * @param part The part.
     */
    private void add(Tick tick, BatchJobId id, TextPart part) {
        pendingByJob
                .computeIfAbsent(id, _id -> new Pending(tick.now().plus(INITIAL_DELAY)))
                .parts
                .merge(part.item(), part, TextPart::join);
    }

    /**
     * Writes the pending parts of a job if a checkpoint is due.
     *
     * @param tick The tick.
     * @param id The job.
     * @param pending The pending parts.
     */
    private void writeIfDue(Tick tick, BatchJobId id, Pending pending) {
        if (pending.writing || pending.parts.isEmpty() || tick.now().isBefore(pending.dueAt)) {
            return;
        }
        List<TextPart> parts = pending.take();
        int number = state.running().find(id).orElseThrow().nextTextObject();
        pending.writing = true;
        state.write(
                tick,
                BatchObjects.texts(id, number),
                OptionalLong.empty(),
                state.codec().writeTexts(parts),
                (later, event) -> receive(later, id, pending, parts, event));
    }

    /**
     * Handles the platform's answer. Parts that are not known to be stored are written again; a reader skips events
     * that it already has.
     *
     * @param tick The tick.
     * @param id The job.
     * @param pending The pending parts.
     * @param parts The written parts.
     * @param event The answer.
     */
    private static void receive(Tick tick, BatchJobId id, Pending pending, List<TextPart> parts, PlatformEvent event) {
        boolean stored = event instanceof PlatformEvent.Accepted;
        pending.writing = false;
        pending.dueAt = tick.now().plus(stored ? CHECKPOINT_INTERVAL : FAILURE_DELAY);
        if (!stored) {
            pending.putBack(parts);
        }
        tick.decide(Decision.of(
                "batch-texts",
                id.value(),
                stored ? "kept" : "not kept",
                "parts of " + parts.size() + " texts, " + event.getClass().getSimpleName()));
    }

    /** The parts of one job that have to be stored. */
    private static final class Pending {

        /** The parts, by item. */
        private final Map<String, TextPart> parts = new LinkedHashMap<>();

        /** When the next checkpoint is due. */
        private MonotonicTime dueAt;

        /** Whether a checkpoint is being written. */
        private boolean writing;

        /**
         * Creates an empty table.
         *
         * @param dueAt When the first checkpoint is due.
         */
        private Pending(MonotonicTime dueAt) {
            this.dueAt = dueAt;
        }

        /**
         * Removes as many parts as fit in one object.
         *
         * @return The parts.
         */
        private List<TextPart> take() {
            List<TextPart> taken = new ArrayList<>();
            long bytes = 0;
            for (TextPart part : List.copyOf(parts.values())) {
                bytes += part.bytes();
                if (!taken.isEmpty() && bytes > MAXIMUM_OBJECT_BYTES) {
                    break;
                }
                taken.add(parts.remove(part.item()));
            }
            return taken;
        }

        /**
         * Puts parts back before those that were added in the meantime.
         *
         * @param taken The parts.
         */
        private void putBack(List<TextPart> taken) {
            taken.forEach(part -> parts.merge(part.item(), part, (later, earlier) -> earlier.join(later)));
        }
    }
}
