package io.yuccaswitch.core.weight;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.lease.LeaseEvent;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Keeps the newest version of each trainer on the platform. The node that a version was published at writes it, and
 * goes on to try while the platform is down. A node that becomes the holder of a lease lists what the platform has, and
 * adds what it lacks, so that the platform's calls grow with publications and changes of holder, not with nodes.
 */
public final class VersionStore {

    /** The kind of the platform's objects that hold versions. */
    public static final String KIND = "version";

    /** The version of the text format. */
    private static final String FORMAT = "1";

    /** The number of fields of the text. */
    private static final int FIELDS = 3;

    /** The first pause after the platform gave no answer. */
    private static final Duration FIRST_PAUSE = Duration.ofSeconds(1);

    /** The largest number of doublings of the pause. */
    private static final int DOUBLINGS = 5;

    /** Hands out the tokens of calls. */
    private final PlatformTokens tokens;

    /** What is to be kept, by trainer. */
    private final EntityTable<TrainerName, Kept> rows = new EntityTable<>();

    /** The listing that is due, or empty if none is. */
    private Optional<Listing> listing = Optional.empty();

    /**
     * Creates a new store.
     *
     * @param tokens Hands out the tokens of calls.
     */
    public VersionStore(PlatformTokens tokens) {
        this.tokens = tokens;
    }

    /**
     * Has a version kept, unless a newer one is kept already.
     *
     * @param version The version.
     */
    void keep(PublishedVersion version) {
        Kept row = rows.find(version.trainer()).orElse(Kept.EMPTY);
        if (row.wanted().filter(wanted -> !version.isNewerThan(wanted)).isEmpty()) {
            rows.put(version.trainer(), row.withWanted(Optional.of(version)));
        }
    }

    /**
     * Runs for one tick.
     *
     * @param tick The tick.
     * @param versions The newest versions that this node knows.
     * @return The versions that the platform is known to keep, as learned in this tick.
     */
    List<PublishedVersion> run(Tick tick, VersionTable versions) {
        boolean acquired = tick.events(LeaseEvent.Acquired.class).stream().anyMatch(event -> !event.degraded());
        if (acquired) {
            listing = Optional.of(new Listing(OptionalLong.empty(), tick.now(), 0));
        }
        List<PublishedVersion> learned = new ArrayList<>();
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            listed(tick, event, versions, learned);
            written(tick, event, learned);
        }
        list(tick);
        write(tick);
        return learned;
    }

    /**
     * Lists what the platform keeps, when that is due.
     *
     * @param tick The tick.
     */
    private void list(Tick tick) {
        if (listing.isEmpty()
                || listing.get().token().isPresent()
                || tick.now().isBefore(listing.get().at())) {
            return;
        }
        long token = tokens.next();
        tick.emit(new PlatformEffect.ListKind(token, PlatformPurpose.WEIGHT, KIND));
        listing = Optional.of(
                new Listing(OptionalLong.of(token), tick.now(), listing.get().failures()));
    }

    /**
     * Takes in the answer to a listing.
     *
     * @param tick The tick.
     * @param event The answer to some call.
     * @param versions The newest versions that this node knows.
     * @param learned The versions that were learned, to be added to.
     */
    private void listed(Tick tick, PlatformEvent event, VersionTable versions, List<PublishedVersion> learned) {
        if (listing.filter(due -> due.token().equals(OptionalLong.of(event.token())))
                .isEmpty()) {
            return;
        }
        if (event instanceof PlatformEvent.ObjectsListed answer) {
            listing = Optional.empty();
            answer.objects().forEach(object -> note(object, learned));
            versions.view().forEach(this::keep);
            return;
        }
        int failures = listing.get().failures();
        listing = Optional.of(new Listing(OptionalLong.empty(), tick.now().plus(pause(tick, failures)), failures + 1));
    }

    /**
     * Notes what the platform keeps of a trainer.
     *
     * @param object The object.
     * @param learned The versions that were learned, to be added to.
     */
    private void note(StoredObject object, List<PublishedVersion> learned) {
        Optional<PublishedVersion> stored = object.deleted() ? Optional.empty() : decode(object);
        OptionalLong version = object.deleted() ? OptionalLong.empty() : OptionalLong.of(object.version());
        trainer(object).ifPresent(trainer -> {
            Kept row = rows.find(trainer).orElse(Kept.EMPTY);
            rows.put(trainer, row.withStored(version, stored));
            stored.ifPresent(learned::add);
        });
    }

    /**
     * Takes in the answer to a write.
     *
     * @param tick The tick.
     * @param event The answer to some call.
     * @param learned The versions that were learned, to be added to.
     */
    private void written(Tick tick, PlatformEvent event, List<PublishedVersion> learned) {
        for (Kept row : rows.rows()) {
            if (row.call().filter(call -> call.token() == event.token()).isEmpty()) {
                continue;
            }
            PublishedVersion sent = row.call().get().version();
            Kept done = row.withCall(Optional.empty(), tick.now(), 0);
            if (event instanceof PlatformEvent.Accepted accepted) {
                rows.put(sent.trainer(), done.withStored(OptionalLong.of(accepted.version()), Optional.of(sent)));
                learned.add(sent);
            } else if (event instanceof PlatformEvent.Conflict conflict) {
                rows.put(sent.trainer(), done.withStored(OptionalLong.empty(), Optional.empty()));
                conflict.current().ifPresent(current -> note(current, learned));
            } else {
                MonotonicTime retryAt = tick.now().plus(pause(tick, row.failures()));
                rows.put(sent.trainer(), row.withCall(Optional.empty(), retryAt, row.failures() + 1));
            }
        }
    }

    /**
     * Writes what the platform does not keep yet. A write that took effect although its answer was lost meets a
     * conflict when it is tried again, which shows it.
     *
     * @param tick The tick.
     */
    private void write(Tick tick) {
        for (Kept row : rows.rows()) {
            if (!row.isDue(tick.now())) {
                continue;
            }
            PublishedVersion wanted = row.wanted().orElseThrow();
            long token = tokens.next();
            ObjectKey key = new ObjectKey(KIND, wanted.trainer().value());
            tick.emit(
                    new PlatformEffect.Write(token, PlatformPurpose.WEIGHT, key, row.objectVersion(), encode(wanted)));
            rows.put(
                    wanted.trainer(),
                    row.withCall(Optional.of(new Call(token, wanted)), row.retryAt(), row.failures()));
        }
    }

    /**
     * Draws a pause, which doubles with each failure and is spread over its whole length.
     *
     * @param tick The tick.
     * @param failures The number of failures before.
     * @return The pause.
     */
    private static Duration pause(Tick tick, int failures) {
        long longest = FIRST_PAUSE.toNanos() << Math.min(failures, DOUBLINGS);
        return Duration.ofNanos(longest / 2 + tick.random().nextLong(longest / 2));
    }

    /**
     * Encodes a version.
     *
     * @param version The version.
     * @return The value for the platform.
     */
    private static Bytes encode(PublishedVersion version) {
        return Bytes.ofUtf8(FORMAT + ' ' + version.version() + ' ' + version.location());
    }

    /**
     * Decodes a version.
     *
     * @param object The object.
     * @return The version, or empty if the object's value is none.
     */
    private static Optional<PublishedVersion> decode(StoredObject object) {
        List<String> fields =
                Splitter.on(' ').limit(FIELDS).splitToList(object.value().toUtf8());
        if (fields.size() != FIELDS || !fields.get(0).equals(FORMAT)) {
            return Optional.empty();
        }
        return trainer(object).flatMap(trainer -> Optional.ofNullable(Longs.tryParse(fields.get(1)))
                .map(version -> new PublishedVersion(trainer, version, fields.get(2))));
    }

    /**
     * Returns the trainer that an object is about.
     *
     * @param object The object.
     * @return The trainer, or empty if the object's name is not the name of a trainer.
     */
    private static Optional<TrainerName> trainer(StoredObject object) {
        try {
            return Optional.of(new TrainerName(object.key().name()));
        } catch (IllegalArgumentException _exception) {
            return Optional.empty();
        }
    }

    /**
     * A listing that is due.
     *
     * @param token The token of the call, or empty if none is in flight.
     * @param at The time before which no call is made.
     * @param failures The number of failures before.
     */
    private record Listing(OptionalLong token, MonotonicTime at, int failures) {}

    /**
     * A write in flight.
     *
     * @param token The token of the call.
     * @param version The version that is written.
     */
    private record Call(long token, PublishedVersion version) {}

    /**
     * What is to be kept of a trainer.
     *
     * @param wanted The version to keep, or empty if this node has none to keep.
     * @param objectVersion The version of the platform's object, or empty if none is known.
     * @param stored What the platform keeps, or empty if nothing is known of it.
     * @param call The write in flight, or empty if there is none.
     * @param retryAt The time before which nothing is written.
     * @param failures The number of failures since the last answer.
     */
    private record Kept(
            Optional<PublishedVersion> wanted,
            OptionalLong objectVersion,
            Optional<PublishedVersion> stored,
            Optional<Call> call,
            MonotonicTime retryAt,
            int failures) {

        /** A trainer that nothing is known of. */
        static final Kept EMPTY = new Kept(
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                new MonotonicTime(Long.MIN_VALUE),
                0);

        /**
         * Returns whether a write is due.
         *
         * @param now The current time.
         * @return {@code true} if the wanted version is newer than what is stored, and no call is in flight.
         */
        boolean isDue(MonotonicTime now) {
            boolean missing = wanted.filter(version ->
                            stored.filter(kept -> !version.isNewerThan(kept)).isEmpty())
                    .isPresent();
            return missing && call.isEmpty() && !now.isBefore(retryAt);
        }

        /**
         * Returns this row with another wanted version.
         *
         * @param version The version to keep.
         * @return The changed row.
         */
        Kept withWanted(Optional<PublishedVersion> version) {
            return new Kept(version, objectVersion, stored, call, retryAt, failures);
        }

        /**
         * Returns this row with what the platform keeps.
         *
         * @param version The version of the platform's object.
         * @param kept What the platform keeps.
         * @return The changed row.
         */
        Kept withStored(OptionalLong version, Optional<PublishedVersion> kept) {
            return new Kept(wanted, version, kept, call, retryAt, failures);
        }

        /**
         * Returns this row with another write in flight.
         *
         * @param made The write in flight.
         * @param pauseUntil The time before which nothing is written.
         * @param failed The number of failures since the last answer.
         * @return The changed row.
         */
        Kept withCall(Optional<Call> made, MonotonicTime pauseUntil, int failed) {
            return new Kept(wanted, objectVersion, stored, made, pauseUntil, failed);
        }
    }
}
