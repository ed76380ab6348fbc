package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.TrainerName;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What this node knows of the cursor of a trainer.
 *
 * @param acknowledged All that the trainer is known to have taken.
 * @param sure {@code true} if nothing that the trainer took before was left out when this was learned.
 * @param knownAt What other nodes confirmed to know, by their names and incarnations.
 * @param progress How far the trainer has come.
 * @param lastBatch The latest hand-over that was not acknowledged yet, or empty if there is none.
 */
record CursorState(
        Cursor acknowledged,
        boolean sure,
        Map<NodeIdentity, Cursor> knownAt,
        TrainerProgress progress,
        Optional<Batch> lastBatch) {

    /** Copies the map. */
    CursorState {
        knownAt = Map.copyOf(knownAt);
    }

    /**
     * Creates the state of a trainer of which nothing is known.
     *
     * @param trainer The trainer.
     * @return The state.
     */
    static CursorState unknown(TrainerName trainer) {
        return new CursorState(Cursor.start(trainer), false, Map.of(), TrainerProgress.UNKNOWN, Optional.empty());
    }

    /**
     * Returns this state joined with a cursor.
     *
     * @param cursor The cursor.
     * @return The changed state.
     */
    CursorState withCursor(Cursor cursor) {
        return new CursorState(acknowledged.join(cursor), sure, knownAt, progress, lastBatch);
    }

    /**
     * Returns this state as one that is sure.
     *
     * @return The changed state.
     */
    CursorState withSure() {
        return new CursorState(acknowledged, true, knownAt, progress, lastBatch);
    }

    /**
     * Returns this state after another node said what it knows.
     *
     * @param node The other node.
     * @param cursor What the other node knows.
     * @return The changed state.
     */
    CursorState withKnownAt(NodeIdentity node, Cursor cursor) {
        Map<NodeIdentity, Cursor> known = new HashMap<>(knownAt);
        known.keySet().removeIf(other -> other.name().equals(node.name()));
        known.put(node, cursor);
        return new CursorState(acknowledged, sure, known, progress, lastBatch);
    }

    /**
     * Returns this state with another progress.
     *
     * @param changed The progress.
     * @return The changed state.
     */
    CursorState withProgress(TrainerProgress changed) {
        return new CursorState(acknowledged, sure, knownAt, changed, lastBatch);
    }

    /**
     * Returns this state after a hand-over.
     *
     * @param batch The hand-over.
     * @return The changed state.
     */
    CursorState withBatch(Batch batch) {
        return new CursorState(acknowledged, sure, knownAt, progress, Optional.of(batch));
    }

    /**
     * Returns whether another node is known to know all that this one does.
     *
     * @param node The other node.
     * @return {@code true} if the other node confirmed it.
     */
    boolean sharedWith(NodeIdentity node) {
        Cursor known = knownAt.get(node);
        return known != null && known.covers(acknowledged);
    }

    /**
     * A hand-over that was not acknowledged yet.
     *
     * @param base The cursor upon which it was made.
     * @param step The step that it was restricted to, or {@link SampleMessage#ANY_STEP}.
     * @param useVersion The weight version with which the trainer uses the samples.
     * @param result The cursor after it.
     */
    record Batch(Cursor base, long step, long useVersion, Cursor result) {}
}
