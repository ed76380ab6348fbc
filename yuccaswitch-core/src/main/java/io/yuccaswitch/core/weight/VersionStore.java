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
 * Stores the newest version of each trainer on the platform. The node at which a version is published writes it, and
 * retries while the platform is unavailable. A node that becomes the holder of a lease lists the stored versions and
 * writes the missing ones, so that the number of platform calls grows with publications and changes of holder, not with
 * nodes.
 */
public final class VersionStore {

    /** The kind of the platform's objects that hold versions. */
    public static final String KIND = "version";

    /** The version of the text format. */
    private static final String FORMAT = "1";

    /** The number of fields of the text. */
    private static final int FIELD_COUNT = 3;

    /** The upper bound of the backoff after the first platform call that failed. */
    private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(1);

    /** The maximum number of times that the backoff is doubled. */
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 5;

    /** Allocates the tokens of calls. */
    private final PlatformTokens tokens;

    /** The state of each trainer's stored version. */
    private final EntityTable<TrainerName, TrainerRow> rows = new EntityTable<>();

    /** The listing that is due or in flight, or empty if there is none. */
    private Optional<Listing> listing = Optional.empty();

    /**
     * Creates a new store.
     *
     * @param tokens Allocates the tokens of calls.
     */
    public VersionStore(PlatformTokens tokens) {
        this.tokens = tokens;
    }

    /**
     * Requests that a version be stored, unless a newer one was requested before.
     *
     * @param version The version.
     */
    void save(PublishedVersion version) {
        TrainerRow row = rows.find(version.trainer()).orElse(TrainerRow.EMPTY);
        if (row.wanted().filter(wanted -> !version.isNewerThan(wanted)).isEmpty()) {
            rows.put(version.trainer(), row.withWanted(Optional.of(version)));
        }
    }

    /**
     * Runs for one tick.
     *
     * @param tick The tick.
     * @param versions The newest versions at this node.
     * @return The versions that the platform was found to store in this tick.
     */
    List<PublishedVersion> run(Tick tick, VersionTable versions) {
        boolean acquired = tick.events(LeaseEvent.Acquired.class).stream().anyMatch(event -> !event.degraded());
        if (acquired) {
            listing = Optional.of(new Listing(OptionalLong.empty(), tick.now(), 0));
        }
        List<PublishedVersion> found = new ArrayList<>();
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            handleListing(tick, event, versions, found);
            handleWriteAnswer(tick, event, found);
        }
        list(tick);
        write(tick);
        return found;
    }

    /**
     * Lists the stored versions if a listing is due.
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
     * Handles the answer to a listing.
     *
     * @param tick The tick.
     * @param event The answer to some call.
     * @param versions The newest versions at this node.
     * @param found The list to which the stored versions are added.
     */
    private void handleListing(Tick tick, PlatformEvent event, VersionTable versions, List<PublishedVersion> found) {
        if (listing.filter(due -> due.token().equals(OptionalLong.of(event.token())))
                .isEmpty()) {
            return;
        }
        if (event instanceof PlatformEvent.ObjectsListed answer) {
            listing = Optional.empty();
            answer.objects().forEach(object -> recordStored(object, found));
            versions.view().forEach(this::save);
            return;
        }
        int failures = listing.get().failures();
        listing =
                Optional.of(new Listing(OptionalLong.empty(), tick.now().plus(backoff(tick, failures)), failures + 1));
    }

    /**
     * Records the stored version of a trainer.
     *
     * @param object The object.
     * @param found The list to which the stored version is added.
     */
    private void recordStored(StoredObject object, List<PublishedVersion> found) {
        Optional<PublishedVersion> stored = object.deleted() ? Optional.empty() : decode(object);
        OptionalLong version = object.deleted() ? OptionalLong.empty() : OptionalLong.of(object.version());
        trainer(object).ifPresent(trainer -> {
            TrainerRow row = rows.find(trainer).orElse(TrainerRow.EMPTY);
            rows.put(trainer, row.withStored(version, stored));
            stored.ifPresent(found::add);
        });
    }

    /**
     * Handles the answer to a write.
     *
     * @param tick The tick.
     * @param event The answer to some call.
     * @param found The list to which the stored versions are added.
     */
    private void handleWriteAnswer(Tick tick, PlatformEvent event, List<PublishedVersion> found) {
        for (TrainerRow row : rows.rows()) {
            if (row.call().filter(call -> call.token() == event.token()).isEmpty()) {
                continue;
            }
            PublishedVersion sent = row.call().get().version();
            TrainerRow done = row.withCall(Optional.empty(), tick.now(), 0);
            if (event instanceof PlatformEvent.Accepted accepted) {
                rows.put(sent.trainer(), done.withStored(OptionalLong.of(accepted.version()), Optional.of(sent)));
                found.add(sent);
            } else if (event instanceof PlatformEvent.Conflict conflict) {
                rows.put(sent.trainer(), done.withStored(OptionalLong.empty(), Optional.empty()));
                conflict.current().ifPresent(current -> recordStored(current, found));
            } else {
                MonotonicTime retryAt = tick.now().plus(backoff(tick, row.failures()));
                rows.put(sent.trainer(), row.withCall(Optional.empty(), retryAt, row.failures() + 1));
            }
        }
    }

    /**
     * Writes the versions that the platform does not store yet. If a write took effect but its answer was lost, the
     * retry is answered with a conflict that carries the stored version.
     *
     * @param tick The tick.
     */
    private void write(Tick tick) {
        for (TrainerRow row : rows.rows()) {
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
     * Computes a random backoff between half of its upper bound and the upper bound, which doubles with each failure.
     *
     * @param tick The tick.
     * @param failures The number of preceding failures.
     * @return The backoff.
     */
    private static Duration backoff(Tick tick, int failures) {
        long upperBoundNanos = INITIAL_BACKOFF.toNanos() << Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
        return Duration.ofNanos(upperBoundNanos / 2 + tick.random().nextLong(upperBoundNanos / 2));
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
     * @return The version, or empty if the object's value is not a valid version.
     */
    private static Optional<PublishedVersion> decode(StoredObject object) {
        List<String> fields =
                Splitter.on(' ').limit(FIELD_COUNT).splitToList(object.value().toUtf8());
        if (fields.size() != FIELD_COUNT || !fields.get(0).equals(FORMAT)) {
            return Optional.empty();
        }
        return trainer(object).flatMap(trainer -> Optional.ofNullable(Longs.tryParse(fields.get(1)))
                .map(version -> new PublishedVersion(trainer, version, fields.get(2))));
    }

    /**
     * Returns the trainer to which an object belongs.
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
     * @param at The earliest time of the next call.
     * @param failures The number of preceding failures.
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
     * The state of a trainer's stored version.
     *
     * @param wanted The version to store, or empty if there is none.
     * @param objectVersion The version of the platform's object, or empty if it does not exist or is unknown.
     * @param stored The version that the platform stores, or empty if it stores none or this is unknown.
     * @param call The write in flight, or empty if there is none.
     * @param retryAt The earliest time of the next write.
     * @param failures The number of failures since the last answer.
     */
    private record TrainerRow(
            Optional<PublishedVersion> wanted,
            OptionalLong objectVersion,
            Optional<PublishedVersion> stored,
            Optional<Call> call,
            MonotonicTime retryAt,
            int failures) {

        /** The initial state of a trainer. */
        static final TrainerRow EMPTY = new TrainerRow(
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
         * @return {@code true} if the wanted version is newer than the stored one, no call is in flight and the backoff
         *     has passed.
         */
        boolean isDue(MonotonicTime now) {
            boolean missing = wanted.filter(
                            version -> stored.filter(storedVersion -> !version.isNewerThan(storedVersion))
                                    .isEmpty())
                    .isPresent();
            return missing && call.isEmpty() && !now.isBefore(retryAt);
        }

        /**
         * Returns this row with another wanted version.
         *
         * @param version The version to store.
         * @return The changed row.
         */
        TrainerRow withWanted(Optional<PublishedVersion> version) {
            return new TrainerRow(version, objectVersion, stored, call, retryAt, failures);
        }

        /**
         * Returns this row with another stored version.
         *
         * @param version The version of the platform's object.
         * @param storedVersion The version that the platform stores.
         * @return The changed row.
         */
        TrainerRow withStored(OptionalLong version, Optional<PublishedVersion> storedVersion) {
            return new TrainerRow(wanted, version, storedVersion, call, retryAt, failures);
        }

        /**
         * Returns this row with another write in flight.
         *
         * @param made The write in flight.
         * @param earliestRetry The earliest time of the next write.
         * @param failed The number of failures since the last answer.
         * @return The changed row.
         */
        TrainerRow withCall(Optional<Call> made, MonotonicTime earliestRetry, int failed) {
            return new TrainerRow(wanted, objectVersion, stored, made, earliestRetry, failed);
        }
    }
}
