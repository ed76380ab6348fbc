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
import io.yuccaswitch.core.platform.PlatformReachability;
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
 * Acquires, renews and releases leases on the platform. At most two nodes, selected from the working nodes by
 * rendezvous hashing, try to acquire a lease that they do not hold, so that the number of calls to the platform does
 * not grow with the size of the site.
 */
public final class LeaseSystem implements DecisionSystem, LeaseView {

    /** The kind of the platform's objects that store leases. */
    public static final String OBJECT_KIND = "lease";

    /** The kind of this system's decisions. */
    private static final String DECISION_KIND = "lease";

    /** Returns the leases that a configuration requires. */
    private final Function<FleetConfiguration, Set<LeaseName>> required;

    /** The members of the site. */
    private final MembershipView members;

    /** Sends the calls to the platform. */
    private final LeaseCalls calls;

    /** Decides which node acts while the platform is unreachable. */
    private final LeaseSuccession succession;

    /** The leases. */
    private final EntityTable<LeaseName, LeaseRow> rows = new EntityTable<>();

    /** The durations and delays that are derived from the active settings. */
    private final LeaseTimes times = new LeaseTimes();

    /** The active settings, or empty before the first configuration. */
    private Optional<LeaseSettings> settings = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param required Returns the leases that a configuration requires.
     * @param members The members of the site.
     * @param tokens Allocates the tokens of calls.
     * @param reachability The reachability of the platform.
     */
    public LeaseSystem(
            Function<FleetConfiguration, Set<LeaseName>> required,
            MembershipView members,
            PlatformTokens tokens,
            PlatformReachability reachability) {
        this.required = required;
        this.members = members;
        calls = new LeaseCalls(members, tokens);
        succession = new LeaseSuccession(members, reachability);
    }

    /** {@inheritDoc} */
    @Override
    public Optional<HeldLease> held(LeaseName name, MonotonicTime now) {
        Optional<HeldLease> byPlatform = rows.find(name)
                .flatMap(LeaseRow::holding)
                .map(holding ->
                        new HeldLease(name, holding.fencingNumber(), holding.since(), holding.validUntil(), false))
                .filter(lease -> now.isBefore(lease.validUntil()));
        return byPlatform.or(() -> settings.flatMap(currentSettings -> succession.held(name, now, currentSettings)));
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
        for (ConfigurationEvent.Activated event : tick.events(ConfigurationEvent.Activated.class)) {
            configure(tick, event.configuration());
        }
        if (settings.isEmpty()) {
            return;
        }
        for (Suspended event : tick.events(Suspended.class)) {
            rows.rows().forEach(row -> rows.put(row.name(), row.withSuspension(event.gap())));
        }
        succession.observe(tick, settings.get());
        tick.events(PeerEvent.Received.class).forEach(event -> handleMessage(tick, event));
        tick.events(PlatformEvent.class).forEach(event -> handleAnswer(tick, event));
        for (LeaseRow row : rows.rows()) {
            rows.put(row.name(), advance(tick, row, settings.get()));
        }
    }

    /**
     * Applies a new configuration.
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
                lose(tick, row, "no longer required by the configuration");
                succession.forget(row.name());
                rows.remove(row.name());
            }
        }
        for (LeaseName name : names) {
            if (!rows.contains(name)) {
                rows.put(name, LeaseRow.create(name, tick.now()));
            }
        }
    }

    /**
     * Handles a message of another node.
     *
     * @param tick The tick.
     * @param event The event that received the message.
     */
    private void handleMessage(Tick tick, PeerEvent.Received event) {
        if (event.message() instanceof LeaseMessage.Acting acting) {
            LeaseName name = new LeaseName(acting.name());
            if (rows.contains(name)) {
                succession.recordAnnouncement(name, acting.fencingNumber());
            }
        }
        if (event.message() instanceof LeaseMessage.Recorded recorded) {
            ObjectKey key = new ObjectKey(OBJECT_KIND, recorded.name());
            StoredObject object = new StoredObject(key, recorded.version(), recorded.record(), false);
            rows.update(
                    new LeaseName(recorded.name()),
                    row -> row.observedVersion() < recorded.version() ? observe(tick, row, Optional.of(object)) : row);
        }
    }

    /**
     * Handles an answer of the platform.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void handleAnswer(Tick tick, PlatformEvent event) {
        for (LeaseRow row : rows.rows()) {
            if (row.call().filter(call -> call.token() == event.token()).isPresent()) {
                rows.put(row.name(), applyAnswer(tick, row, row.call().get(), event));
            }
        }
    }

    /**
     * Applies the answer to a call for a lease.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param call The call.
     * @param event The answer.
     * @return The changed lease.
     */
    private LeaseRow applyAnswer(Tick tick, LeaseRow row, LeaseRow.Call call, PlatformEvent event) {
        LeaseRow completed = row.withoutCall(tick.now().plus(times.callInterval()));
        if (event instanceof PlatformEvent.Accepted accepted) {
            LeaseRow.Attempt attempt = call.attempt().orElseThrow();
            return applyWrite(tick, completed, accepted.version(), attempt);
        }
        if (event instanceof PlatformEvent.Conflict conflict) {
            return observe(tick, row.withoutCall(tick.now().plus(times.retryDelay())), conflict.current());
        }
        if (event instanceof PlatformEvent.ObjectRead read) {
            return scheduleNextCall(tick, observe(tick, completed, read.object()));
        }
        if (event instanceof PlatformEvent.Unavailable unavailable) {
            LeaseRow retried = row.withoutCall(tick.now().plus(times.retryDelay()));
            return call.attempt()
                    .filter(_attempt -> unavailable.maybeApplied())
                    .map(retried::withUnconfirmed)
                    .orElse(retried);
        }
        return completed;
    }

    /**
     * Schedules the call after a read: immediately if there is something to write, and otherwise after the call
     * interval or when the lease becomes acquirable if it is not renewed, whichever is first.
     *
     * @param tick The tick.
     * @param row The lease.
     * @return The changed lease.
     */
    private LeaseRow scheduleNextCall(Tick tick, LeaseRow row) {
        boolean heldBySelf =
                row.record().filter(record -> record.isHeldBy(self())).isPresent();
        if (heldBySelf
                || row.observation()
                        .filter(seen -> times.isAcquirable(seen, tick.now()))
                        .isPresent()) {
            return row.withNextCallAt(tick.now());
        }
        Optional<MonotonicTime> acquirableAt = row.observation().map(seen -> seen.unchangedSince()
                .plus(times.duration(seen.record()))
                .plus(times.margin()));
        return acquirableAt
                .filter(at -> at.isBefore(row.nextCallAt()))
                .map(row::withNextCallAt)
                .orElse(row);
    }

    /**
     * Applies an observation of a lease's object.
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
        if (version.isPresent() && version.getAsLong() < row.observedVersion()) {
            return row;
        }
        Optional<LeaseRecord> record = present.flatMap(found -> LeaseRecord.decode(found.value()));
        MonotonicTime unchangedSince = row.observation()
                .filter(before -> before.version().equals(version))
                .filter(before -> tick.now().since(before.observedAt()).compareTo(times.duration(record)) < 0)
                .map(LeaseRow.Observation::unchangedSince)
                .orElseGet(tick::now);
        LeaseRow seen = row.withObservation(new LeaseRow.Observation(version, record, unchangedSince, tick.now()));
        Optional<LeaseRow.Attempt> applied = record.flatMap(known -> row.unconfirmedAttempt(known));
        if (applied.isPresent()) {
            return applyWrite(tick, seen, version.getAsLong(), applied.get());
        }
        boolean heldBySelf = record.filter(known -> known.isHeldBy(self())).isPresent();
        return heldBySelf ? seen : lose(tick, seen, "the platform's record shows another holder or none");
    }

    /**
     * Records that a write of this node was applied.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param version The version of the object after the write.
     * @param attempt The write.
     * @return The changed lease.
     */
    private LeaseRow applyWrite(Tick tick, LeaseRow row, long version, LeaseRow.Attempt attempt) {
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
            tick.decide(Decision.of(DECISION_KIND, row.name().value(), self().toString(), "acquired on the platform"));
        }
        succession.forget(row.name());
        notifySuccessors(tick, row.name(), version, record);
        return seen.withHolding(holding);
    }

    /**
     * Notifies the successors of the platform's record of a lease, in case the platform becomes unreachable.
     *
     * @param tick The tick.
     * @param name The lease's name.
     * @param version The platform's version of the record.
     * @param record The record.
     */
    private static void notifySuccessors(Tick tick, LeaseName name, long version, LeaseRecord record) {
        for (NodeIdentity successor : record.successors()) {
            LeaseMessage message = new LeaseMessage.Recorded(name.value(), version, record.encode());
            tick.emit(new PeerEffect.Send(successor.name(), message));
        }
    }

    /**
     * Records that this node is not the holder.
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
        tick.decide(Decision.of(DECISION_KIND, row.name().value(), Decision.NO_CHOICE, reason));
        return row.withoutHolding();
    }

    /**
     * Takes the actions that are due for a lease.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param currentSettings The settings of leases.
     * @return The changed lease.
     */
    private LeaseRow advance(Tick tick, LeaseRow row, LeaseSettings currentSettings) {
        LeaseRow current = row.withoutExpiredAttempts(tick.now());
        boolean expired = current.holding()
                .filter(holding -> !tick.now().isBefore(holding.validUntil()))
                .isPresent();
        if (expired) {
            current = lose(tick, current, "not renewed in time");
        }
        if (current.holding().isEmpty() && !isLeaving()) {
            succession.advance(tick, current, currentSettings);
        }
        if (isLeaving() && current.holding().isPresent()) {
            current = lose(tick, current, "released at a planned stop").withNextCallAt(tick.now());
        }
        if (current.call().isPresent() || tick.now().isBefore(current.nextCallAt())) {
            return current;
        }
        return isLeaving() ? release(tick, current) : sendCall(tick, current, currentSettings);
    }

    /**
     * Sends the call that is due for a lease.
     *
     * @param tick The tick.
     * @param row The lease, for which no call is in flight.
     * @param currentSettings The settings of leases.
     * @return The changed lease.
     */
    private LeaseRow sendCall(Tick tick, LeaseRow row, LeaseSettings currentSettings) {
        if (row.readRequired()) {
            return calls.read(tick, row);
        }
        if (row.holding().isPresent()) {
            return renew(tick, row, row.holding().get());
        }
        boolean heldBySelf =
                row.record().filter(record -> record.isHeldBy(self())).isPresent();
        if (heldBySelf || succession.actedRecently(row.name(), tick.now(), currentSettings)) {
            return acquire(tick, row);
        }
        if (!calls.candidates(row.name()).contains(self())) {
            return row.withoutCall(tick.now().plus(times.callInterval()));
        }
        boolean acquirable = row.observation()
                .filter(seen -> times.isAcquirable(seen, tick.now()))
                .isPresent();
        return acquirable ? acquire(tick, row) : calls.read(tick, row);
    }

    /**
     * Renews a lease, under a new fencing number if its successors have changed.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param holding The holding of this node.
     * @return The changed lease.
     */
    private LeaseRow renew(Tick tick, LeaseRow row, LeaseRow.Holding holding) {
        MonotonicTime due = holding.renewAt(times.duration(row.record()), LeaseTimes.CALLS_PER_DURATION);
        if (tick.now().isBefore(due)) {
            return row.withoutCall(due);
        }
        List<NodeIdentity> currentSuccessors =
                row.record().map(LeaseRecord::successors).orElseGet(List::of);
        List<NodeIdentity> successors = calls.successors(row.name());
        long base = currentSuccessors.equals(successors) ? holding.base() : 0;
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
     * Releases a lease if this node holds it according to the last observation.
     *
     * @param tick The tick.
     * @param row The lease.
     * @return The changed lease.
     */
    private LeaseRow release(Tick tick, LeaseRow row) {
        if (row.readRequired()) {
            return calls.read(tick, row);
        }
        boolean heldBySelf =
                row.record().filter(record -> record.isHeldBy(self())).isPresent();
        return heldBySelf ? calls.write(tick, row, times.duration(), Optional.empty(), 0, List.of()) : row;
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
     * Returns whether this node is leaving.
     *
     * @return {@code true} if this node is leaving.
     */
    private boolean isLeaving() {
        return members.self().condition() == MemberCondition.LEAVING;
    }
}
