package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.TrainerName;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The state of a trainer's cursor at this node.
 *
 * @param acknowledged The groups that the trainer has acknowledged, as recorded at this node.
 * @param complete {@code true} if the cursor was guaranteed to contain all groups that the trainer had received when it
 *     was recorded.
 * @param confirmedCursors The cursors that other nodes confirmed to have recorded, by name and incarnation.
 * @param progress The progress of the trainer.
 * @param lastBatch The latest unacknowledged hand-over, or empty if there is none.
 */
record CursorState(
        Cursor acknowledged,
        boolean complete,
        Map<NodeIdentity, Cursor> confirmedCursors,
        TrainerProgress progress,
        Optional<Batch> lastBatch) {

    /** Copies the map. */
    CursorState {
        confirmedCursors = Map.copyOf(confirmedCursors);
    }

    /**
     * Creates the state of a trainer without any recorded cursor.
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
        return new CursorState(acknowledged.join(cursor), complete, confirmedCursors, progress, lastBatch);
    }

    /**
     * Returns this state marked as complete.
     *
     * @return The changed state.
     */
    CursorState withComplete() {
        return new CursorState(acknowledged, true, confirmedCursors, progress, lastBatch);
    }

    /**
     * Returns this state after another node reported its cursor.
     *
     * @param node The other node.
     * @param cursor The cursor that the other node has recorded.
     * @return The changed state.
     */
    CursorState withConfirmedCursor(NodeIdentity node, Cursor cursor) {
        Map<NodeIdentity, Cursor> confirmed = new HashMap<>(confirmedCursors);
        confirmed.keySet().removeIf(other -> other.name().equals(node.name()));
        confirmed.put(node, cursor);
        return new CursorState(acknowledged, complete, confirmed, progress, lastBatch);
    }

    /**
     * Returns this state with another progress.
     *
     * @param changed The progress.
     * @return The changed state.
     */
    CursorState withProgress(TrainerProgress changed) {
        return new CursorState(acknowledged, complete, confirmedCursors, changed, lastBatch);
    }

    /**
     * Returns this state after a hand-over.
     *
     * @param batch The hand-over.
     * @return The changed state.
     */
    CursorState withBatch(Batch batch) {
        return new CursorState(acknowledged, complete, confirmedCursors, progress, Optional.of(batch));
    }

    /**
     * Returns whether another node confirmed a cursor that covers the one of this node.
     *
     * @param node The other node.
     * @return {@code true} if the other node has recorded all acknowledged groups.
     */
    boolean isConfirmedBy(NodeIdentity node) {
        Cursor confirmed = confirmedCursors.get(node);
        return confirmed != null && confirmed.covers(acknowledged);
    }

    /**
     * An unacknowledged hand-over.
     *
     * @param base The acknowledged cursor on which it is based.
     * @param step The step that it is restricted to, or {@link SampleMessage#ANY_STEP}.
     * @param useVersion The weight version with which the trainer uses the samples.
     * @param result The cursor that acknowledges it.
     */
    record Batch(Cursor base, long step, long useVersion, Cursor result) {}
}
