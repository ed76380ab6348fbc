package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Stores the cursors that trainers presented on the platform. The primary keeper makes at most one call per second for
 * each trainer. A write with an unknown outcome is followed by a read, so a lost answer is harmless: the stored cursor
 * is joined with the local one, and written again only if it lacks groups.
 */
final class CursorStore {

    /** The minimum time after a failed call or a write before the next call for the same trainer. */
    private static final Duration MINIMUM_CALL_INTERVAL = Duration.ofSeconds(1);

    /** The platform's kind of the objects that hold cursors. */
    private static final String OBJECT_KIND = "cursor";

    /** The shared tables. */
    private final SampleContext context;

    /** The state of the platform's objects at this node, by trainer. */
    private final EntityTable<TrainerName, Row> rows = new EntityTable<>();

    /**
     * Creates a new store.
     *
     * @param context The shared tables.
     */
    CursorStore(SampleContext context) {
        this.context = context;
    }

    /**
     * Returns the key of a trainer's cursor on the platform.
     *
     * @param trainer The trainer.
     * @return The key.
     */
    static ObjectKey key(TrainerName trainer) {
        return new ObjectKey(OBJECT_KIND, trainer.value());
    }

    /**
     * Decodes a trainer's cursor from an object of the platform.
     *
     * @param trainer The trainer.
     * @param object The object, or empty if there is none.
     * @return The cursor, or empty if there is none.
     */
    static Optional<Cursor> cursor(TrainerName trainer, Optional<StoredObject> object) {
        return object.filter(stored -> !stored.deleted())
                .map(stored -> CursorCodec.decodeOrStart(trainer, stored.value().toUtf8()));
    }

    /**
     * Returns whether the platform stores a cursor, as of the latest call.
     *
     * @param cursor The cursor.
     * @return {@code true} if the stored cursor covers it.
     */
    boolean holds(Cursor cursor) {
        return rows.find(cursor.trainer())
                .flatMap(Row::storedCursor)
                .filter(storedCursor -> storedCursor.covers(cursor))
                .isPresent();
    }

    /**
     * Handles the answer to a call, if this store made the call.
     *
     * @param tick The current tick.
     * @param event The answer.
     * @return The cursor that the platform stores, or empty if the answer contains none.
     */
    Optional<Cursor> handle(Tick tick, PlatformEvent event) {
        Optional<Row> found = rows.view().stream()
                .filter(row -> row.token().equals(OptionalLong.of(event.token())))
                .findFirst();
        if (found.isEmpty()) {
            return Optional.empty();
        }
        Row row = found.get();
        Row changed = row.withCallEnded(tick.now());
        Optional<Cursor> read = Optional.empty();
        if (event instanceof PlatformEvent.ObjectRead answer) {
            read = cursor(row.trainer(), answer.object());
            changed = changed.withObject(answer.object(), read);
        } else if (event instanceof PlatformEvent.Conflict conflict) {
            read = cursor(row.trainer(), conflict.current());
            changed = changed.withObject(conflict.current(), read);
        } else if (event instanceof PlatformEvent.Accepted accepted) {
            changed = changed.withWritten(accepted.version());
        }
        rows.put(row.trainer(), changed);
        return read;
    }

    /**
     * Issues the calls that are due.
     *
     * @param tick The current tick.
     */
    void run(Tick tick) {
        for (CursorState state : context.cursors.view()) {
            TrainerName trainer = state.acknowledged().trainer();
            List<Member> keepers = context.roles.keepers(trainer);
            if (state.complete() && !keepers.isEmpty() && context.roles.isSelf(keepers.get(0))) {
                call(tick, rows.find(trainer).orElseGet(() -> Row.unread(trainer)), state.acknowledged());
            }
        }
    }

    /**
     * Issues the call that is due for a trainer, if any.
     *
     * @param tick The current tick.
     * @param row The state of the platform's object.
     * @param acknowledged The groups that the trainer has acknowledged.
     */
    private void call(Tick tick, Row row, Cursor acknowledged) {
        boolean written =
                row.storedCursor().filter(cursor -> cursor.covers(acknowledged)).isPresent();
        if (written || row.token().isPresent() || tick.now().isBefore(row.notBefore())) {
            return;
        }
        long token = context.tokens.next();
        if (row.storedCursor().isEmpty()) {
            rows.put(row.trainer(), row.withCall(token, Optional.empty()));
            tick.emit(new PlatformEffect.Read(token, PlatformPurpose.SAMPLE, key(row.trainer())));
            return;
        }
        rows.put(row.trainer(), row.withCall(token, Optional.of(acknowledged)));
        tick.emit(new PlatformEffect.Write(
                token,
                PlatformPurpose.SAMPLE,
                key(row.trainer()),
                row.version(),
                Bytes.ofUtf8(CursorCodec.encode(acknowledged))));
    }

    /**
     * The state of a trainer's object on the platform, as recorded at this node.
     *
     * @param trainer The trainer.
     * @param storedCursor The cursor that the object holds, or empty if it is unknown.
     * @param version The version of the object, or empty if it does not exist.
     * @param token The token of the call in progress, or empty if there is none.
     * @param writing The cursor that the call in progress writes, or empty.
     * @param notBefore The time before which no call is issued.
     */
    private record Row(
            TrainerName trainer,
            Optional<Cursor> storedCursor,
            OptionalLong version,
            OptionalLong token,
            Optional<Cursor> writing,
            MonotonicTime notBefore) {

        /**
         * Creates the row of an object that was not read yet.
         *
         * @param trainer The trainer.
         * @return The row.
         */
        private static Row unread(TrainerName trainer) {
            return new Row(
                    trainer,
                    Optional.empty(),
                    OptionalLong.empty(),
                    OptionalLong.empty(),
                    Optional.empty(),
                    new MonotonicTime(Long.MIN_VALUE));
        }

        /**
         * Returns this row with a call in progress.
         *
         * @param callToken The token of the call.
         * @param cursor The cursor that the call writes, or empty if it reads.
         * @return The changed row.
         */
        private Row withCall(long callToken, Optional<Cursor> cursor) {
            return new Row(trainer, storedCursor, version, OptionalLong.of(callToken), cursor, notBefore);
        }

        /**
         * Returns this row after its call ended. The object must be read before the next write.
         *
         * @param now The current time.
         * @return The changed row.
         */
        private Row withCallEnded(MonotonicTime now) {
            return new Row(
                    trainer,
                    Optional.empty(),
                    OptionalLong.empty(),
                    OptionalLong.empty(),
                    writing,
                    now.plus(MINIMUM_CALL_INTERVAL));
        }

        /**
         * Returns this row after the object was read. It may be written immediately.
         *
         * @param object The object, or empty if it does not exist.
         * @param cursor The cursor that the object holds, or empty if there is none.
         * @return The changed row.
         */
        private Row withObject(Optional<StoredObject> object, Optional<Cursor> cursor) {
            OptionalLong read = object.filter(stored -> !stored.deleted())
                    .map(stored -> OptionalLong.of(stored.version()))
                    .orElseGet(OptionalLong::empty);
            return new Row(
                    trainer,
                    Optional.of(cursor.orElseGet(() -> Cursor.start(trainer))),
                    read,
                    OptionalLong.empty(),
                    Optional.empty(),
                    new MonotonicTime(Long.MIN_VALUE));
        }

        /**
         * Returns this row after the object was written.
         *
         * @param written The version of the object.
         * @return The changed row.
         */
        private Row withWritten(long written) {
            return new Row(
                    trainer, writing, OptionalLong.of(written), OptionalLong.empty(), Optional.empty(), notBefore);
        }
    }
}
