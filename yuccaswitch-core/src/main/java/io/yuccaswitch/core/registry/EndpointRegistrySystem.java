package io.yuccaswitch.core.registry;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.quarantine.EndpointStandings;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Follows the registry in which endpoints say where they are and what they serve. */
public final class EndpointRegistrySystem implements DecisionSystem, EndpointRegistry, EndpointStandings {

    /** The kind of the registry's objects. */
    public static final String KIND = "endpoint";

    /** Gathers changes, such as the loads of one version, into few calls. Far below the time for leaving endpoints. */
    private static final Duration GATHERING = Duration.ofMillis(250);

    /**
     * For how long an entry that lapsed while the platform was away is kept. A living endpoint is back within about two
     * seconds of the platform's return.
     */
    private static final Duration LAPSE_GRACE = Duration.ofMillis(1900);

    /** How long after a failed call a missing entry is taken for lapsed. */
    private static final Duration RECENT_FAILURE = Duration.ofSeconds(3);

    /** Brings the registry's entries. */
    private final KindFeed feed;

    /** Reads an entry. */
    private final Function<StoredObject, Optional<RegisteredEndpoint>> decoder;

    /** The entries. */
    private final EntityTable<String, Row> entries = new EntityTable<>();

    /** Whether the registry was read once. */
    private boolean listed;

    /** Whether entries may be missing or out of date, as the platform was out of reach a short time ago. */
    private boolean inDoubt;

    /** When what is known of the endpoints was surely complete, as it was last told. */
    private Optional<MonotonicTime> confirmedAt = Optional.empty();

    /** How often the endpoints have changed. */
    private long changes;

    /**
     * Creates a system that knows no endpoints.
     *
     * @param watches This node's shared watches.
     * @param tokens Hands out the tokens of calls.
     * @param decoder Reads an entry, or returns empty where it can't be read.
     */
    public EndpointRegistrySystem(
            SharedWatches watches,
            PlatformTokens tokens,
            Function<StoredObject, Optional<RegisteredEndpoint>> decoder) {
        feed = watches.watch(KIND, PlatformPurpose.DISCOVERY, tokens, GATHERING);
        this.decoder = decoder;
    }

    @Override
    public void run(Tick tick) {
        Optional<KindFeed.News> news = feed.run(tick);
        inDoubt = feed.hasFailedWithin(tick.now(), RECENT_FAILURE);
        boolean changed = news.isPresent() && take(tick, news.get());
        changed |= entries.removeIf(row -> row.hasLapsed(tick.now(), LAPSE_GRACE));
        if (changed) {
            tell(tick);
        }
        if (!feed.confirmedAt().equals(confirmedAt)) {
            confirmedAt = feed.confirmedAt();
            confirmedAt.ifPresent(at -> tick.emit(new RegistryEffect.Confirmed(at)));
        }
    }

    /**
     * Returns whether the registry was read at least once.
     *
     * @return {@code true} if it was.
     */
    public boolean isListed() {
        return listed;
    }

    /**
     * Returns whether entries may be missing or out of date.
     *
     * @return {@code true} if the platform was out of reach a short time ago.
     */
    public boolean isInDoubt() {
        return inDoubt;
    }

    @Override
    public Optional<RegisteredEndpoint> find(EndpointName name) {
        return entries.find(name.value()).map(Row::endpoint).filter(endpoint -> endpoint.name()
                .equals(name));
    }

    @Override
    public Standing of(EndpointName name) {
        if (!listed || inDoubt) {
            return Standing.UNTOLD;
        }
        Optional<RegisteredEndpoint> known = find(name);
        if (known.isEmpty()) {
            return Standing.GONE;
        }
        return known.get().leaving() ? Standing.LEAVING : Standing.WORKING;
    }

    /**
     * Returns whether an endpoint has started again since the start that a name tells of, such that whatever was under
     * way there is lost.
     *
     * @param name The name.
     * @return {@code true} if a later start is known.
     */
    public boolean hasStartedAgain(EndpointName name) {
        return entries.find(name.value())
                .filter(row -> name.isBefore(row.endpoint().name()))
                .isPresent();
    }

    /**
     * Notes that an endpoint said of itself that it started again, which its entry may not tell yet.
     *
     * @param tick The tick.
     * @param name The start that was known.
     * @param incarnation The incarnation that the endpoint told.
     */
    public void noteIncarnation(Tick tick, EndpointName name, long incarnation) {
        Optional<RegisteredEndpoint> known = find(name);
        if (known.isEmpty() || !name.isBefore(name.withIncarnation(incarnation))) {
            return;
        }
        RegisteredEndpoint started = known.get().withIncarnation(incarnation);
        entries.put(name.value(), new Row(started, Optional.empty()));
        decide(tick, started.name(), "started again", "it said so itself");
        tell(tick);
    }

    @Override
    public List<RegisteredEndpoint> working(PoolName pool) {
        return entries.view().stream()
                .map(Row::endpoint)
                .filter(endpoint -> !endpoint.leaving() && endpoint.pool().equals(pool))
                .toList();
    }

    @Override
    public List<RegisteredEndpoint> working() {
        return entries.view().stream()
                .map(Row::endpoint)
                .filter(endpoint -> !endpoint.leaving())
                .toList();
    }

    /**
     * Records that an endpoint said itself that it serves a version, ahead of its entry.
     *
     * @param tick The tick.
     * @param name The endpoint.
     * @param model The model.
     * @param version The version.
     */
    public void noteVersion(Tick tick, EndpointName name, String model, long version) {
        Optional<Row> row = entries.find(name.value())
                .filter(known -> known.endpoint().name().equals(name));
        if (row.isEmpty() || row.get().endpoint().servesAtLeast(model, version)) {
            return;
        }
        entries.put(
                name.value(),
                new Row(
                        row.get().endpoint().withVersion(model, version),
                        row.get().lapsedAt()));
        tell(tick);
    }

    /**
     * Returns how often the endpoints have changed, such that a system looks at them only after a change.
     *
     * @return The number of changes.
     */
    public long changes() {
        return changes;
    }

    /**
     * Tells that the endpoints have changed.
     *
     * @param tick The tick.
     */
    private void tell(Tick tick) {
        changes++;
        tick.emit(new RegistryEffect.Changed(working()));
    }

    /**
     * Takes what the feed brought.
     *
     * @param tick The tick.
     * @param news What is new.
     * @return Whether anything changed.
     */
    private boolean take(Tick tick, KindFeed.News news) {
        listed = true;
        boolean changed = false;
        for (StoredObject object : news.objects()) {
            changed |= object.deleted() ? remove(tick, object.key().name()) : put(tick, object);
        }
        if (news.complete()) {
            Set<String> present = news.objects().stream()
                    .map(object -> object.key().name())
                    .collect(Collectors.toCollection(HashSet::new));
            for (Row row : entries.rows()) {
                String name = row.endpoint().name().value();
                changed |= !present.contains(name) && remove(tick, name);
            }
        }
        return changed;
    }

    /**
     * Takes an entry as it is now.
     *
     * @param tick The tick.
     * @param object The entry.
     * @return Whether anything changed.
     */
    private boolean put(Tick tick, StoredObject object) {
        String name = object.key().name();
        Optional<RegisteredEndpoint> decoded = decoder.apply(object);
        if (decoded.isEmpty()) {
            return discard(tick, name);
        }
        RegisteredEndpoint endpoint = decoded.get();
        Optional<RegisteredEndpoint> before = entries.find(name).map(Row::endpoint);
        if (before.filter(known -> endpoint.name().isBefore(known.name())).isPresent()) {
            return false;
        }
        entries.removeIf(row -> !row.endpoint().name().value().equals(name)
                && row.endpoint().address().equals(endpoint.address()));
        entries.put(name, new Row(endpoint, Optional.empty()));
        boolean news = before.isEmpty()
                || before.get().leaving() != endpoint.leaving()
                || !before.get().name().equals(endpoint.name());
        if (news) {
            decide(
                    tick,
                    endpoint.name(),
                    endpoint.leaving() ? "leaving" : "working",
                    "entry version " + object.version());
        }
        return before.isEmpty() || !before.get().equals(endpoint);
    }

    /**
     * Gives an endpoint up whose entry was replaced by one that can't be used. Whoever wrote it, nothing tells where
     * the endpoint is or whether it leaves.
     *
     * @param tick The tick.
     * @param name The name of the entry.
     * @return Whether an endpoint was known by that name.
     */
    private boolean discard(Tick tick, String name) {
        Optional<Row> row = entries.remove(name);
        row.ifPresent(known -> decide(tick, known.endpoint().name(), "not used", "its entry can't be used any more"));
        return row.isPresent();
    }

    /**
     * Takes the removal of an entry: the endpoint is gone, unless the platform was away and the entry may have lapsed
     * meanwhile.
     *
     * @param tick The tick.
     * @param name The identifier of the endpoint's start.
     * @return Whether the endpoint is gone.
     */
    private boolean remove(Tick tick, String name) {
        Optional<Row> row = entries.find(name);
        if (row.isEmpty() || row.get().lapsedAt().isPresent()) {
            return false;
        }
        if (feed.hasFailedWithin(tick.now(), RECENT_FAILURE)) {
            entries.put(name, new Row(row.get().endpoint(), Optional.of(tick.now())));
            decide(tick, row.get().endpoint().name(), "lapsed", doubt(tick.now()));
            return false;
        }
        entries.remove(name);
        decide(tick, row.get().endpoint().name(), "gone", "entry removed");
        return true;
    }

    /**
     * Describes why a missing entry is taken for lapsed.
     *
     * @param now The present.
     * @return The reason.
     */
    private String doubt(MonotonicTime now) {
        String failed =
                feed.failedAt().map(at -> now.since(at).toMillis() + " ms ago").orElse("never");
        String confirmed = feed.confirmedAt()
                .map(at -> now.since(at).toMillis() + " ms ago")
                .orElse("never");
        return "the platform was out of reach " + failed + ", entries were confirmed " + confirmed;
    }

    /**
     * Reports what is now believed of an endpoint.
     *
     * @param tick The tick.
     * @param name The endpoint.
     * @param choice What is believed.
     * @param reason Why.
     */
    private static void decide(Tick tick, EndpointName name, String choice, String reason) {
        tick.decide(Decision.of("endpoint", name.toString(), choice, reason));
    }

    /**
     * An entry.
     *
     * @param endpoint The endpoint.
     * @param lapsedAt When the entry went missing while the platform may have been away, or empty if it is there.
     */
    private record Row(RegisteredEndpoint endpoint, Optional<MonotonicTime> lapsedAt) {

        /**
         * Returns whether the entry has been missing for too long.
         *
         * @param now The present.
         * @param grace The time after which a missing entry means that the endpoint is gone.
         * @return {@code true} if it has.
         */
        boolean hasLapsed(MonotonicTime now, Duration grace) {
            return lapsedAt.filter(at -> now.since(at).compareTo(grace) >= 0).isPresent();
        }
    }
}
