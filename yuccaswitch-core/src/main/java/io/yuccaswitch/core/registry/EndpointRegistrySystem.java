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
import io.yuccaswitch.core.quarantine.EndpointStates;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Follows the registry in which endpoints register their addresses and what they serve. */
public final class EndpointRegistrySystem implements DecisionSystem, EndpointRegistry, EndpointStates {

    /** The kind of the registry's objects. */
    public static final String KIND = "endpoint";

    /**
     * Batches changes, such as the loads of one version, into few calls. Far below the time after which leaving
     * endpoints must get no new work.
     */
    private static final Duration BATCHING_DELAY = Duration.ofMillis(250);

    /**
     * How long after an outage entries that lapsed meanwhile are retained. A running endpoint registers again within
     * about two seconds after the platform is reachable again.
     */
    private static final Duration LAPSED_RETENTION = Duration.ofMillis(1900);

    /** Supplies the registry's entries. */
    private final KindFeed feed;

    /** Decodes an entry. */
    private final Function<StoredObject, Optional<RegisteredEndpoint>> decoder;

    /** The entries. */
    private final EntityTable<String, Row> entries = new EntityTable<>();

    /** Whether the registry has been read. */
    private boolean listed;

    /** The freshness of this node's copy of the registry. */
    private RegistryFreshness freshness = RegistryFreshness.UNKNOWN;

    /** The latest outage of the platform, if there was one. */
    private Optional<Outage> outage = Optional.empty();

    /** Whether entries may be missing or out of date. */
    private boolean uncertain = true;

    /** The number of changes of the endpoints. */
    private long changeCount;

    /**
     * Creates a system without endpoints.
     *
     * @param watches This node's shared watches.
     * @param tokens Allocates the tokens of calls.
     * @param decoder Decodes an entry, or returns empty if it can't be decoded.
     */
    public EndpointRegistrySystem(
            SharedWatches watches,
            PlatformTokens tokens,
            Function<StoredObject, Optional<RegisteredEndpoint>> decoder) {
        feed = watches.watchWithin(
                KIND, PlatformPurpose.DISCOVERY, tokens, BATCHING_DELAY, RegistryFreshness.CONFIRMATION_AGE);
        this.decoder = decoder;
    }

    @Override
    public void run(Tick tick) {
        Optional<KindFeed.Changes> changes = feed.run(tick);
        confirm(tick);
        boolean changed = changes.isPresent() && apply(tick, changes.get());
        changed |= isOutageOver(tick.now()) && removeLapsed(tick);
        if (changed) {
            announceChange(tick);
        }
    }

    /**
     * Updates the freshness, and detects the end of an outage. Entries may have lapsed in an outage only if nothing
     * confirmed them for longer than a change may take, whichever path the confirmation took. A failed call does not
     * indicate an outage, as the platform may fail for one node and serve the others.
     *
     * @param tick The tick.
     */
    private void confirm(Tick tick) {
        RegistryFreshness before = freshness;
        freshness = new RegistryFreshness(feed.confirmedAt(), feed.isPlatformUnreachable(tick.now()));
        if (!freshness.equals(before)) {
            tick.emit(new RegistryEffect.Confirmed(freshness));
            freshness.confirmedAt().ifPresent(now -> recordOutage(before, now));
        }
        boolean current = freshness
                .age(tick.now())
                .filter(age -> age.compareTo(RegistryFreshness.MAXIMUM_LEAVING_DELAY) <= 0)
                .isPresent();
        uncertain = !current || !isOutageOver(tick.now());
    }

    /**
     * Records an outage, if one has ended.
     *
     * @param before The freshness before the confirmation.
     * @param confirmedAt The time as of which the entries are confirmed now.
     */
    private void recordOutage(RegistryFreshness before, MonotonicTime confirmedAt) {
        before.age(confirmedAt)
                .filter(unconfirmed -> unconfirmed.compareTo(RegistryFreshness.MAXIMUM_LEAVING_DELAY) > 0)
                .ifPresent(unconfirmed ->
                        outage = Optional.of(new Outage(confirmedAt.plus(LAPSED_RETENTION), unconfirmed)));
    }

    /**
     * Returns whether an entry that is missing can't have lapsed in an outage.
     *
     * @param now The current time.
     * @return {@code false} for a short time after an outage.
     */
    private boolean isOutageOver(MonotonicTime now) {
        return outage.filter(latest -> now.isBefore(latest.retainedUntil())).isEmpty();
    }

    /**
     * Removes the endpoints whose entries did not reappear after an outage.
     *
     * @param tick The tick.
     * @return Whether there were any.
     */
    private boolean removeLapsed(Tick tick) {
        for (Row row : entries.rows()) {
            if (row.lapsed()) {
                decide(tick, row.endpoint().name(), "gone", "its entry did not reappear after the outage");
            }
        }
        return entries.removeIf(Row::lapsed);
    }

    /**
     * Returns whether the registry has been read at least once.
     *
     * @return {@code true} if it has.
     */
    public boolean isListed() {
        return listed;
    }

    /**
     * Returns whether entries may be missing or out of date.
     *
     * @return {@code true} if the entries are not confirmed recently enough, or were not a short time ago.
     */
    public boolean isUncertain() {
        return uncertain;
    }

    /**
     * Returns whether the age of the entries allows sending work to the working endpoints.
     *
     * @param now The current time.
     * @return {@code false} if it has to wait until the platform has answered.
     */
    public boolean allowsDispatch(MonotonicTime now) {
        return freshness.allowsDispatch(now);
    }

    @Override
    public Optional<RegisteredEndpoint> find(EndpointName name) {
        return entries.find(name.value()).map(Row::endpoint).filter(endpoint -> endpoint.name()
                .equals(name));
    }

    @Override
    public State of(EndpointName name) {
        if (!listed || uncertain) {
            return State.UNKNOWN;
        }
        Optional<RegisteredEndpoint> recorded = find(name);
        if (recorded.isEmpty()) {
            return State.GONE;
        }
        return recorded.get().leaving() ? State.LEAVING : State.WORKING;
    }

    /**
     * Returns whether an endpoint has restarted since the incarnation of a name, such that all work in progress there
     * is lost.
     *
     * @param name The name.
     * @return {@code true} if a later incarnation is recorded.
     */
    public boolean hasRestarted(EndpointName name) {
        return entries.find(name.value())
                .filter(row -> name.isBefore(row.endpoint().name()))
                .isPresent();
    }

    /**
     * Records that an endpoint itself reported its restart, which its entry may not show yet.
     *
     * @param tick The tick.
     * @param name The incarnation that was recorded.
     * @param incarnation The incarnation that the endpoint reported.
     */
    public void recordIncarnation(Tick tick, EndpointName name, long incarnation) {
        Optional<RegisteredEndpoint> recorded = find(name);
        if (recorded.isEmpty() || !name.isBefore(name.withIncarnation(incarnation))) {
            return;
        }
        RegisteredEndpoint started = recorded.get().withIncarnation(incarnation);
        entries.put(name.value(), new Row(started, false));
        decide(tick, started.name(), "started again", "it said so itself");
        announceChange(tick);
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
     * Records that an endpoint itself reported that it serves a version, which its entry may not show yet.
     *
     * @param tick The tick.
     * @param name The endpoint.
     * @param model The model.
     * @param version The version.
     */
    public void recordVersion(Tick tick, EndpointName name, String model, long version) {
        Optional<Row> row = entries.find(name.value())
                .filter(recorded -> recorded.endpoint().name().equals(name));
        if (row.isEmpty() || row.get().endpoint().servesAtLeast(model, version)) {
            return;
        }
        entries.put(
                name.value(),
                new Row(
                        row.get().endpoint().withVersion(model, version),
                        row.get().lapsed()));
        announceChange(tick);
    }

    /**
     * Returns the number of changes of the endpoints, by which a system detects whether it has to process them again.
     *
     * @return The number of changes.
     */
    public long changeCount() {
        return changeCount;
    }

    /**
     * Announces that the endpoints have changed.
     *
     * @param tick The tick.
     */
    private void announceChange(Tick tick) {
        changeCount++;
        tick.emit(new RegistryEffect.Changed(working()));
    }

    /**
     * Applies the changes from the feed.
     *
     * @param tick The tick.
     * @param changes The changes.
     * @return Whether anything changed.
     */
    private boolean apply(Tick tick, KindFeed.Changes changes) {
        listed = true;
        boolean changed = false;
        for (StoredObject object : changes.objects()) {
            changed |= object.deleted() ? remove(tick, object.key().name()) : put(tick, object);
        }
        if (changes.complete()) {
            Set<String> present = changes.objects().stream()
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
     * Applies the current state of an entry.
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
        if (before.filter(recorded -> endpoint.name().isBefore(recorded.name())).isPresent()) {
            return false;
        }
        entries.removeIf(row -> !row.endpoint().name().value().equals(name)
                && row.endpoint().address().equals(endpoint.address()));
        entries.put(name, new Row(endpoint, false));
        boolean stateChanged = before.isEmpty()
                || before.get().leaving() != endpoint.leaving()
                || !before.get().name().equals(endpoint.name());
        if (stateChanged) {
            decide(
                    tick,
                    endpoint.name(),
                    endpoint.leaving() ? "leaving" : "working",
                    "entry version " + object.version());
        }
        return before.isEmpty() || !before.get().equals(endpoint);
    }

    /**
     * Removes an endpoint whose entry was replaced by one that can't be decoded. Whoever wrote it, the address of the
     * endpoint and whether it leaves are no longer known.
     *
     * @param tick The tick.
     * @param name The name of the entry.
     * @return Whether an endpoint was recorded by that name.
     */
    private boolean discard(Tick tick, String name) {
        Optional<Row> row = entries.remove(name);
        row.ifPresent(
                recorded -> decide(tick, recorded.endpoint().name(), "not used", "its entry can no longer be decoded"));
        return row.isPresent();
    }

    /**
     * Applies the removal of an entry: the endpoint is gone, unless the platform was unreachable and the entry may have
     * lapsed meanwhile.
     *
     * @param tick The tick.
     * @param name The endpoint's identifier.
     * @return Whether the endpoint is gone.
     */
    private boolean remove(Tick tick, String name) {
        Optional<Row> row = entries.find(name);
        if (row.isEmpty() || row.get().lapsed()) {
            return false;
        }
        if (!isOutageOver(tick.now())) {
            entries.put(name, new Row(row.get().endpoint(), true));
            decide(tick, row.get().endpoint().name(), "lapsed", outage.get().describe(tick.now()));
            return false;
        }
        entries.remove(name);
        decide(tick, row.get().endpoint().name(), "gone", "entry removed");
        return true;
    }

    /**
     * Reports the new state of an endpoint.
     *
     * @param tick The tick.
     * @param name The endpoint.
     * @param choice The state.
     * @param reason The reason.
     */
    private static void decide(Tick tick, EndpointName name, String choice, String reason) {
        tick.decide(Decision.of("endpoint", name.toString(), choice, reason));
    }

    /**
     * An entry.
     *
     * @param endpoint The endpoint.
     * @param lapsed Whether the entry has been missing since an outage.
     */
    private record Row(RegisteredEndpoint endpoint, boolean lapsed) {}

    /**
     * An outage of the platform, as this node observed it.
     *
     * @param retainedUntil Until when endpoints are retained whose entries are missing.
     * @param unconfirmedFor The time for which nothing confirmed the entries.
     */
    private record Outage(MonotonicTime retainedUntil, Duration unconfirmedFor) {

        /**
         * Describes the outage, for logs.
         *
         * @param now The current time.
         * @return The description.
         */
        String describe(MonotonicTime now) {
            return "entries not confirmed for " + unconfirmedFor.toMillis() + " ms, retained for "
                    + retainedUntil.since(now).toMillis() + " ms";
        }
    }
}
