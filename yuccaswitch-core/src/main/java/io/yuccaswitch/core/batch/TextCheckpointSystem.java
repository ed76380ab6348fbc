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
 * Keeps the texts of long items on the platform as they grow, each time only what was added. It answers the death of
 * all nodes at once: the longest items decide when a step ends, and begun anew they cost it up to their whole 7 s.
 */
final class TextCheckpointSystem implements DecisionSystem {

    /** The wait before a job's first checkpoint, by which most items are whole. */
    private static final Duration FIRST_WAIT = Duration.ofSeconds(1);

    /**
     * The pause between two checkpoints of a job. Each is a call that has a price (three or four a step, of about a
     * hundred); what was made since the last one is lost.
     */
    private static final Duration INTERVAL = Duration.ofSeconds(2);

    /** The wait after a call that failed. */
    private static final Duration FAILURE_WAIT = Duration.ofMillis(500);

    /** The largest size of the events in one object, in bytes. Encoded, they stay well below a megabyte. */
    private static final long OBJECT_BYTES = 450_000;

    /** The tables of the batch system. */
    private final BatchState state;

    /** What is to be kept, by job. */
    private final Map<BatchJobId, Pending> jobs = new HashMap<>();

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
        tick.events(BatchEvent.TextGrown.class).forEach(grown -> take(tick, grown));
        tick.events(BatchEvent.AttemptEnded.class).forEach(ended -> takeKept(tick, ended));
        jobs.keySet().removeIf(id -> !state.running().contains(id));
        jobs.forEach((id, pending) -> writeIfDue(tick, id, pending));
    }

    /**
     * Takes what an attempt in progress has added to a text.
     *
     * @param tick The tick.
     * @param grown What was added.
     */
    private void take(Tick tick, BatchEvent.TextGrown grown) {
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
     * Takes the whole text of an item whose attempt broke off, as the next attempt goes on behind all of it, or drops
     * what is whole.
     *
     * @param tick The tick.
     * @param ended The end of the attempt, which was taken before.
     */
    private void takeKept(Tick tick, BatchEvent.AttemptEnded ended) {
        Optional<ItemText> text = state.running()
                .find(ended.id())
                .flatMap(job -> job.find(ended.item()))
                .map(RunningItem::text)
                .filter(kept -> !kept.isEmpty());
        if (text.isPresent()) {
            add(tick, ended.id(), new TextPart(ended.item(), 0, text.get()));
        } else if (jobs.containsKey(ended.id())) {
            jobs.get(ended.id()).parts.remove(ended.item());
        }
    }

    /**
     * Adds a part to what is to be kept.
     *
     * @param tick The tick.
     * @param id The job.
     * @param part The part.
     */
    private void add(Tick tick, BatchJobId id, TextPart part) {
        jobs.computeIfAbsent(id, _id -> new Pending(tick.now().plus(FIRST_WAIT)))
                .parts
                .merge(part.item(), part, TextPart::join);
    }

    /**
     * Writes what is to be kept of a job, if it is time.
     *
     * @param tick The tick.
     * @param id The job.
     * @param pending What is to be kept.
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
     * Takes the platform's answer. Parts that were not kept, for all that is known, are written again; a reader skips
     * events that it knows.
     *
     * @param tick The tick.
     * @param id The job.
     * @param pending What is to be kept.
     * @param parts What was written.
     * @param event The answer.
     */
    private static void receive(Tick tick, BatchJobId id, Pending pending, List<TextPart> parts, PlatformEvent event) {
        boolean kept = event instanceof PlatformEvent.Accepted;
        pending.writing = false;
        pending.dueAt = tick.now().plus(kept ? INTERVAL : FAILURE_WAIT);
        if (!kept) {
            pending.giveBack(parts);
        }
        tick.decide(Decision.of(
                "batch-texts",
                id.value(),
                kept ? "kept" : "not kept",
                "parts of " + parts.size() + " texts, " + event.getClass().getSimpleName()));
    }

    /** What is to be kept of one job. */
    private static final class Pending {

        /** The parts, by item. */
        private final Map<String, TextPart> parts = new LinkedHashMap<>();

        /** When the next checkpoint is due. */
        private MonotonicTime dueAt;

        /** Whether a checkpoint is on its way. */
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
         * Takes as many parts as fit one object.
         *
         * @return The parts.
         */
        private List<TextPart> take() {
            List<TextPart> taken = new ArrayList<>();
            long bytes = 0;
            for (TextPart part : List.copyOf(parts.values())) {
                bytes += part.bytes();
                if (!taken.isEmpty() && bytes > OBJECT_BYTES) {
                    break;
                }
                taken.add(parts.remove(part.item()));
            }
            return taken;
        }

        /**
         * Puts parts back in front of what came meanwhile.
         *
         * @param taken The parts.
         */
        private void giveBack(List<TextPart> taken) {
            taken.forEach(part -> parts.merge(part.item(), part, (later, earlier) -> earlier.join(later)));
        }
    }
}
