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
     * For how long after an outage entries that lapsed meanwhile are kept. A living endpoint is back within about two
     * seconds of the platform's return.
     */
    private static final Duration RETURN_TIME = Duration.ofMillis(1900);

    /** Brings the registry's entries. */
    private final KindFeed feed;

    /** Reads an entry. */
    private final Function<StoredObject, Optional<RegisteredEndpoint>> decoder;

    /** The entries. */
    private final EntityTable<String, Row> entries = new EntityTable<>();

    /** Whether the registry was read once. */
    private boolean listed;

    /** How old what is known of the endpoints is. */
    private RegistryFreshness freshness = RegistryFreshness.UNKNOWN;

    /** The latest outage of the platform, if there was one. */
    private Optional<Outage> outage = Optional.empty();

    /** Whether entries may be missing or out of date. */
    private boolean inDoubt = true;

    /** How often the endpoints have changed. */
    private long changes;

    /**
     * Creates a system that knows no endpoints.
     *
     * @param watches This node's shared watches.
     * @param tokens Allocates the tokens of calls.
     * @param decoder Reads an entry, or returns empty where it can't be read.
     */
    public EndpointRegistrySystem(
            SharedWatches watches,
            PlatformTokens tokens,
            Function<StoredObject, Optional<RegisteredEndpoint>> decoder) {
        feed = watches.watchWithin(KIND, PlatformPurpose.DISCOVERY, tokens, GATHERING, RegistryFreshness.CONFIRMED);
        this.decoder = decoder;
    }

    @Override
    public void run(Tick tick) {
        Optional<KindFeed.News> news = feed.run(tick);
        confirm(tick);
        boolean changed = news.isPresent() && take(tick, news.get());
        changed |= isOutageOver(tick.now()) && removeLapsed(tick);
        if (changed) {
            tell(tick);
        }
    }

    /**
     * Takes note of how far what is known of the endpoints is confirmed. Entries may have lapsed in an outage only
     * where nothing confirmed them for longer than news may take, whatever way it came. A failed call is no reason to
     * think so, as the platform may fail one node and serve the others.
     *
     * @param tick The tick.
     */
    private void confirm(Tick tick) {
        RegistryFreshness before = freshness;
        freshness = new RegistryFreshness(feed.confirmedAt(), feed.isPlatformUnreachable(tick.now()));
        if (!freshness.equals(before)) {
            tick.emit(new RegistryEffect.Confirmed(freshness));
            freshness.confirmedAt().ifPresent(now -> noteOutage(before, now));
        }
        boolean current = freshness
                .age(tick.now())
                .filter(age -> age.compareTo(RegistryFreshness.BOUND) <= 0)
                .isPresent();
        inDoubt = !current || !isOutageOver(tick.now());
    }

    /**
     * Takes note of an outage, if one is over.
     *
     * @param before How old what is known was before.
     * @param confirmedAt When it was confirmed now.
     */
    private void noteOutage(RegistryFreshness before, MonotonicTime confirmedAt) {
        before.age(confirmedAt)
                .filter(unconfirmed -> unconfirmed.compareTo(RegistryFreshness.BOUND) > 0)
                .ifPresent(unconfirmed -> outage = Optional.of(new Outage(confirmedAt.plus(RETURN_TIME), unconfirmed)));
    }

    /**
     * Returns whether missing entries can't have lapsed in an outage.
     *
     * @param now The current time.
     * @return {@code false} for a short time after an outage.
     */
    private boolean isOutageOver(MonotonicTime now) {
        return outage.filter(latest -> now.isBefore(latest.keptUntil())).isEmpty();
    }

    /**
     * Gives the endpoints up that did not come back after an outage.
     *
     * @param tick The tick.
     * @return Whether there were any.
     */
    private boolean removeLapsed(Tick tick) {
        for (Row row : entries.rows()) {
            if (row.lapsed()) {
                decide(tick, row.endpoint().name(), "gone", "its entry did not come back");
            }
        }
        return entries.removeIf(Row::lapsed);
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
     * @return {@code true} if the platform is out of reach, or was a short time ago.
     */
    public boolean isInDoubt() {
        return inDoubt;
    }

    /**
     * Returns whether work may be sent to the endpoints that are known to work, as far as their age goes.
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
        entries.put(name.value(), new Row(started, false));
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
                        row.get().lapsed()));
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
        entries.put(name, new Row(endpoint, false));
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
     * @param lapsed Whether the entry is missing since an outage.
     */
    private record Row(RegisteredEndpoint endpoint, boolean lapsed) {}

    /**
     * An outage of the platform, as far as this node can tell.
     *
     * @param keptUntil Until when endpoints are kept whose entries are missing.
     * @param lasted For how long nothing confirmed what was known.
     */
    private record Outage(MonotonicTime keptUntil, Duration lasted) {

        /**
         * Describes the outage, for logs.
         *
         * @param now The current time.
         * @return The description.
         */
        String describe(MonotonicTime now) {
            return "nothing confirmed the entries for " + lasted.toMillis() + " ms, kept for "
                    + keptUntil.since(now).toMillis() + " ms";
        }
    }
}
