package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformNews;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.suspension.Suspended;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;

/**
 * Acquires, renews and releases leases on the platform. At most two nodes, picked by rendezvous hashing among those
 * that work, try for a lease that they do not hold, such that the calls to the platform do not grow with the site.
 */
public final class LeaseSystem implements DecisionSystem, LeaseView {

    /** The kind of the platform's objects that hold leases. */
    public static final String KIND = "lease";

    /** The kind of the decisions that this system makes. */
    private static final String DECISION = "lease";

    /** Computes which leases a configuration needs. */
    private final Function<FleetConfiguration, Set<LeaseName>> required;

    /** The members of the site. */
    private final MembershipView members;

    /** Makes the calls to the platform. */
    private final LeaseCalls calls;

    /** Decides who acts while the platform is silent. */
    private final LeaseSuccession succession;

    /** The leases. */
    private final EntityTable<LeaseName, LeaseRow> rows = new EntityTable<>();

    /** The durations and pauses that follow from the settings in force. */
    private final LeaseTimes times = new LeaseTimes();

    /** The settings in force, or empty before the first configuration. */
    private Optional<LeaseSettings> settings = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param required Computes which leases a configuration needs.
     * @param members The members of the site.
     * @param tokens Hands out the tokens of calls.
     * @param news What is known about the silence of the platform.
     */
    public LeaseSystem(
            Function<FleetConfiguration, Set<LeaseName>> required,
            MembershipView members,
            PlatformTokens tokens,
            PlatformNews news) {
        this.required = required;
        this.members = members;
        calls = new LeaseCalls(members, tokens);
        succession = new LeaseSuccession(members, news);
    }

    /** {@inheritDoc} */
    @Override
    public Optional<HeldLease> held(LeaseName name, MonotonicTime now) {
        Optional<HeldLease> byPlatform = rows.find(name)
                .flatMap(LeaseRow::holding)
                .map(holding ->
                        new HeldLease(name, holding.fencingNumber(), holding.since(), holding.validUntil(), false))
                .filter(lease -> now.isBefore(lease.validUntil()));
        return byPlatform.or(() -> settings.flatMap(present -> succession.held(name, now, present)));
    }

    /**
     * Returns the leases that this node holds.
     *
     * @param now The current time.
     * @return The leases.
     */
    public List<HeldLease> held(MonotonicTime now) {
        List<HeldLease> held = new ArrayList<>();
        rows.view().forEach(row -> held(row.name(), now).ifPresent(held::add));
        return held;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (ConfigurationEvent.InForce event : tick.events(ConfigurationEvent.InForce.class)) {
            configure(tick, event.configuration());
        }
        if (settings.isEmpty()) {
            return;
        }
        for (Suspended event : tick.events(Suspended.class)) {
            rows.rows().forEach(row -> rows.put(row.name(), row.withSuspension(event.gap())));
        }
        succession.observe(tick, settings.get());
        tick.events(PeerEvent.Received.class).forEach(event -> hear(tick, event));
        tick.events(PlatformEvent.class).forEach(event -> answer(tick, event));
        for (LeaseRow row : rows.rows()) {
            rows.put(row.name(), advance(tick, row, settings.get()));
        }
    }

    /**
     * Takes a configuration into force.
     *
     * @param tick The tick.
     * @param configuration The configuration.
     */
    private void configure(Tick tick, FleetConfiguration configuration) {
        settings = Optional.of(configuration.lease());
        times.replace(configuration.lease());
        Set<LeaseName> names = required.apply(configuration);
        for (LeaseRow row : rows.rows()) {
            if (!names.contains(row.name())) {
                lose(tick, row, "the configuration no longer needs it");
                succession.forget(row.name());
                rows.remove(row.name());
            }
        }
        for (LeaseName name : names) {
            if (!rows.contains(name)) {
                rows.put(name, LeaseRow.unknown(name, tick.now()));
            }
        }
    }

    /**
     * Takes in a message of another node.
     *
     * @param tick The tick.
     * @param event The arrival of the message.
     */
    private void hear(Tick tick, PeerEvent.Received event) {
        if (event.message() instanceof LeaseMessage.Acting acting) {
            LeaseName name = new LeaseName(acting.name());
            if (rows.contains(name)) {
                succession.hear(name, acting.fencingNumber());
            }
        }
        if (event.message() instanceof LeaseMessage.Recorded recorded) {
            ObjectKey key = new ObjectKey(KIND, recorded.name());
            StoredObject object = new StoredObject(key, recorded.version(), recorded.record(), false);
            rows.update(
                    new LeaseName(recorded.name()),
                    row -> row.seenVersion() < recorded.version() ? observe(tick, row, Optional.of(object)) : row);
        }
    }

    /**
     * Takes in an answer of the platform.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void answer(Tick tick, PlatformEvent event) {
        for (LeaseRow row : rows.rows()) {
            if (row.call().filter(call -> call.token() == event.token()).isPresent()) {
                rows.put(row.name(), answered(tick, row, row.call().get(), event));
            }
        }
    }

    /**
     * Takes in the answer to a call about a lease.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param call The call.
     * @param event The answer.
     * @return The changed lease.
     */
    private LeaseRow answered(Tick tick, LeaseRow row, LeaseRow.Call call, PlatformEvent event) {
        LeaseRow done = row.withoutCall(tick.now().plus(times.pause()));
        if (event instanceof PlatformEvent.Accepted accepted) {
            LeaseRow.Attempt attempt = call.attempt().orElseThrow();
            return written(tick, done, accepted.version(), attempt);
        }
        if (event instanceof PlatformEvent.Conflict conflict) {
            return observe(tick, row.withoutCall(tick.now().plus(times.retryPause())), conflict.current());
        }
        if (event instanceof PlatformEvent.ObjectRead read) {
            return scheduled(tick, observe(tick, done, read.object()));
        }
        if (event instanceof PlatformEvent.Unavailable unavailable) {
            LeaseRow retried = row.withoutCall(tick.now().plus(times.retryPause()));
            return call.attempt()
                    .filter(_attempt -> unavailable.maybeApplied())
                    .map(retried::withUnsettled)
                    .orElse(retried);
        }
        return done;
    }

    /**
     * Schedules the call after a reading: at once if there is something to write, and otherwise after the usual pause
     * or when the lease may be taken if nobody renews it, whichever is first.
     *
     * @param tick The tick.
     * @param row The lease.
     * @return The changed lease.
     */
    private LeaseRow scheduled(Tick tick, LeaseRow row) {
        boolean mine = row.record().filter(record -> record.isHeldBy(self())).isPresent();
        if (mine
                || row.observation()
                        .filter(seen -> times.isTakeable(seen, tick.now()))
                        .isPresent()) {
            return row.withNextCallAt(tick.now());
        }
        Optional<MonotonicTime> takeableAt = row.observation().map(seen -> seen.unchangedSince()
                .plus(times.duration(seen.record()))
                .plus(times.margin()));
        return takeableAt
                .filter(at -> at.isBefore(row.nextCallAt()))
                .map(row::withNextCallAt)
                .orElse(row);
    }

    /**
     * Takes in what the platform showed of a lease.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param object The object, or empty if there is none.
     * @return The changed lease.
     */
    private LeaseRow observe(Tick tick, LeaseRow row, Optional<StoredObject> object) {
        Optional<StoredObject> present = object.filter(found -> !found.deleted());
        OptionalLong version =
                present.map(found -> OptionalLong.of(found.version())).orElseGet(OptionalLong::empty);
        if (version.isPresent() && version.getAsLong() < row.seenVersion()) {
            return row;
        }
        Optional<LeaseRecord> record = present.flatMap(found -> LeaseRecord.decode(found.value()));
        MonotonicTime unchangedSince = row.observation()
                .filter(before -> before.version().equals(version))
                .filter(before -> tick.now().since(before.seenAt()).compareTo(times.duration(record)) < 0)
                .map(LeaseRow.Observation::unchangedSince)
                .orElseGet(tick::now);
        LeaseRow seen = row.withObservation(new LeaseRow.Observation(version, record, unchangedSince, tick.now()));
        Optional<LeaseRow.Attempt> applied = record.flatMap(known -> row.unsettledAttempt(known));
        if (applied.isPresent()) {
            return written(tick, seen, version.getAsLong(), applied.get());
        }
        boolean mine = record.filter(known -> known.isHeldBy(self())).isPresent();
        return mine ? seen : lose(tick, seen, "the platform shows another holder or none");
    }

    /**
     * Takes in that a write of this node took effect.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param version The version of the object after the write.
     * @param attempt The write.
     * @return The changed lease.
     */
    private LeaseRow written(Tick tick, LeaseRow row, long version, LeaseRow.Attempt attempt) {
        LeaseRecord record = attempt.written();
        LeaseRow seen = row.withObservation(
                new LeaseRow.Observation(OptionalLong.of(version), Optional.of(record), tick.now(), tick.now()));
        MonotonicTime validUntil =
                attempt.emittedAt().plus(record.duration()).plus(times.margin().negated());
        if (record.holder().isEmpty() || !tick.now().isBefore(validUntil)) {
            return seen;
        }
        long base = record.baseAt(version);
        MonotonicTime since = row.holding().map(LeaseRow.Holding::since).orElseGet(tick::now);
        LeaseRow.Holding holding = new LeaseRow.Holding(base, since, attempt.emittedAt(), validUntil);
        if (row.holding().filter(before -> before.base() == base).isEmpty()) {
            tick.raise(new LeaseEvent.Acquired(row.name(), holding.fencingNumber(), false));
            tick.decide(Decision.of(DECISION, row.name().value(), self().toString(), "acquired on the platform"));
        }
        succession.forget(row.name());
        inform(tick, row.name(), version, record);
        return seen.withHolding(holding);
    }

    /**
     * Tells the successors what the platform keeps about a lease, for the case that it falls silent.
     *
     * @param tick The tick.
     * @param name The lease's name.
     * @param version The platform's version of the record.
     * @param record The record.
     */
    private static void inform(Tick tick, LeaseName name, long version, LeaseRecord record) {
        for (NodeIdentity successor : record.successors()) {
            LeaseMessage message = new LeaseMessage.Recorded(name.value(), version, record.encode());
            tick.emit(new PeerEffect.Send(successor.name(), message));
        }
    }

    /**
     * Takes in that this node is not the holder.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param reason The reason, for logs.
     * @return The changed lease.
     */
    private static LeaseRow lose(Tick tick, LeaseRow row, String reason) {
        if (row.holding().isEmpty()) {
            return row;
        }
        long fencingNumber = row.holding().get().fencingNumber();
        tick.raise(new LeaseEvent.Lost(row.name(), fencingNumber, reason));
        tick.decide(Decision.of(DECISION, row.name().value(), Decision.NO_CHOICE, reason));
        return row.withoutHolding();
    }

    /**
     * Does what is due for a lease.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param present The settings of leases.
     * @return The changed lease.
     */
    private LeaseRow advance(Tick tick, LeaseRow row, LeaseSettings present) {
        LeaseRow current = row.withoutExpiredAttempts(tick.now());
        boolean expired = current.holding()
                .filter(holding -> !tick.now().isBefore(holding.validUntil()))
                .isPresent();
        if (expired) {
            current = lose(tick, current, "not renewed in time");
        }
        if (current.holding().isEmpty() && !isLeaving()) {
            succession.advance(tick, current, present);
        }
        if (isLeaving() && current.holding().isPresent()) {
            current = lose(tick, current, "released at a planned stop").withNextCallAt(tick.now());
        }
        if (current.call().isPresent() || tick.now().isBefore(current.nextCallAt())) {
            return current;
        }
        return isLeaving() ? release(tick, current) : call(tick, current, present);
    }

    /**
     * Makes the call that is due for a lease.
     *
     * @param tick The tick.
     * @param row The lease, about which no call is in flight.
     * @param present The settings of leases.
     * @return The changed lease.
     */
    private LeaseRow call(Tick tick, LeaseRow row, LeaseSettings present) {
        if (row.doubtful()) {
            return calls.read(tick, row);
        }
        if (row.holding().isPresent()) {
            return renew(tick, row, row.holding().get());
        }
        boolean mine = row.record().filter(record -> record.isHeldBy(self())).isPresent();
        if (mine || succession.actedLately(row.name(), tick.now(), present)) {
            return acquire(tick, row);
        }
        if (!calls.candidates(row.name()).contains(self())) {
            return row.withoutCall(tick.now().plus(times.pause()));
        }
        boolean takeable = row.observation()
                .filter(seen -> times.isTakeable(seen, tick.now()))
                .isPresent();
        return takeable ? acquire(tick, row) : calls.read(tick, row);
    }

    /**
     * Renews a lease, under a new fencing number if its successors have to be named anew.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param holding What makes this node the holder.
     * @return The changed lease.
     */
    private LeaseRow renew(Tick tick, LeaseRow row, LeaseRow.Holding holding) {
        MonotonicTime due = holding.renewAt(times.duration(row.record()), LeaseTimes.CALLS_PER_DURATION);
        if (tick.now().isBefore(due)) {
            return row.withoutCall(due);
        }
        List<NodeIdentity> named = row.record().map(LeaseRecord::successors).orElseGet(List::of);
        List<NodeIdentity> successors = calls.successors(row.name());
        long base = named.equals(successors) ? holding.base() : 0;
        return calls.write(tick, row, times.duration(), Optional.of(self()), base, successors);
    }

    /**
     * Acquires a lease under a new fencing number.
     *
     * @param tick The tick.
     * @param row The lease.
     * @return The changed lease.
     */
    private LeaseRow acquire(Tick tick, LeaseRow row) {
        return calls.write(tick, row, times.duration(), Optional.of(self()), 0, calls.successors(row.name()));
    }

    /**
     * Releases a lease if the platform shows that this node holds it.
     *
     * @param tick The tick.
     * @param row The lease.
     * @return The changed lease.
     */
    private LeaseRow release(Tick tick, LeaseRow row) {
        if (row.doubtful()) {
            return calls.read(tick, row);
        }
        boolean mine = row.record().filter(record -> record.isHeldBy(self())).isPresent();
        return mine ? calls.write(tick, row, times.duration(), Optional.empty(), 0, List.of()) : row;
    }

    /**
     * Returns this node's identity.
     *
     * @return This node's identity.
     */
    private NodeIdentity self() {
        return members.self().identity();
    }

    /**
     * Returns whether this node is about to stop.
     *
     * @return {@code true} if this node is about to stop.
     */
    private boolean isLeaving() {
        return members.self().condition() == MemberCondition.LEAVING;
    }
}
