package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Notifies the nodes that run jobs which engines are about to load a version, and the batch system of this node through
 * events of the same tick. A node that starts to run jobs during a load receives the notices that still apply.
 */
final class LoadAnnouncements {

    /** The expected duration of a load from its notice on: 0.9 s, plus the latencies of the messages. */
    static final Duration LOAD_DURATION = Duration.ofMillis(1200);

    /** The maximum number of nodes that receive a notice, which bounds the messages for each load. */
    private static final int MAXIMUM_RECIPIENTS = 16;

    /** The minimum extension that is sent. Each one is a message to up to 16 nodes, so shorter ones are not sent. */
    private static final Duration MINIMUM_EXTENSION = Duration.ofMillis(100);

    /**
     * The maximum time by which busy reports extend the notice of a version, so that an engine that reports busy
     * without end gets items again. Its refusals are then handled like those of any other engine.
     */
    private static final Duration MAXIMUM_RENEWAL = Duration.ofSeconds(4);

    /**
     * How long the limit of renewals is retained after the announcement ended: several times the timeout of an update,
     * so that a further attempt to load the version does not begin a new one.
     */
    private static final Duration LIMIT_RETENTION = Duration.ofSeconds(60);

    /** The demand for models. */
    private final ModelDemand demand;

    /** The announced loads that have not ended. */
    private final Map<EndpointName, Announcement> announced = new HashMap<>();

    /** The limits of renewals, by engine. */
    private final Map<EndpointName, RenewalLimit> limits = new HashMap<>();

    /** The nodes that received all notices that apply. */
    private Set<NodeName> recipients = Set.of();

    /**
     * Creates announcements, of which there are none.
     *
     * @param demand The demand for models.
     */
    LoadAnnouncements(ModelDemand demand) {
        this.demand = demand;
    }

    /**
     * Sends the applicable notices to nodes that have started to run jobs.
     *
     * @param tick The tick.
     */
    void updateRecipients(Tick tick) {
        Set<NodeName> current = new HashSet<>();
        demand.runners().stream().limit(MAXIMUM_RECIPIENTS).forEach(current::add);
        for (NodeName node : current) {
            if (!recipients.contains(node)) {
                announced.values().stream()
                        .filter(load -> tick.now().isBefore(load.until()))
                        .forEach(load -> tick.emit(new PeerEffect.Send(node, load.message(tick.now()))));
            }
        }
        recipients = current;
    }

    /**
     * Announces a load, or that a load takes longer than announced.
     *
     * @param tick The tick.
     * @param row The engine's row.
     * @param age The time since the version was named.
     * @param duration The expected time until the load ends.
     */
    void announce(Tick tick, EngineOrderRow row, Duration age, Duration duration) {
        announceUntil(tick, row, age, tick.now().plus(duration));
    }

    /**
     * Announces a load, unless its notice already ends at about the same time or later.
     *
     * @param tick The tick.
     * @param row The engine's row.
     * @param age The time since the version was named.
     * @param until When the load is expected to end.
     */
    private void announceUntil(Tick tick, EngineOrderRow row, Duration age, MonotonicTime until) {
        EndpointName engine = row.engine().name();
        Announcement previous = announced.get(engine);
        boolean isNew = previous == null
                || previous.version() != row.version()
                || !previous.model().equals(row.model());
        if (!isNew && !previous.until().plus(MINIMUM_EXTENSION).isBefore(until)) {
            return;
        }
        if (isNew) {
            limitRenewals(tick, row, until);
        }
        Announcement load = new Announcement(engine, row.model(), row.version(), until);
        announced.put(engine, load);
        notify(tick, load.message(tick.now()));
        if (isNew) {
            String reports = demand.reportingNodes() == 0
                    ? "no reports of other nodes"
                    : "reports of " + demand.reportingNodes() + " nodes";
            tick.decide(Decision.of(
                    "load-notice",
                    engine.value(),
                    row.model() + " version " + row.version(),
                    "named " + age.toMillis() + " ms ago, waiting items " + demand.waiting(row.model()) + ", " + reports
                            + ", notified nodes " + recipients.size()));
        }
    }

    /**
     * Extends the notice of a load whose engine reports that it is busy.
     *
     * @param tick The tick.
     * @param row The engine's row.
     * @param age The time since the version was named.
     * @param duration The expected time until the load ends.
     */
    void renew(Tick tick, EngineOrderRow row, Duration age, Duration duration) {
        MonotonicTime end = tick.now().plus(duration);
        MonotonicTime limit = Optional.ofNullable(limits.get(row.engine().name()))
                .filter(found -> found.isFor(row))
                .map(RenewalLimit::until)
                .orElse(end);
        MonotonicTime until = limit.isBefore(end) ? limit : end;
        if (tick.now().isBefore(until)) {
            announceUntil(tick, row, age, until);
        }
    }

    /**
     * Limits the renewals of a version's notice, unless they are already limited by an earlier attempt to load it.
     *
     * @param tick The tick.
     * @param row The engine's row.
     * @param until When the first notice ends.
     */
    private void limitRenewals(Tick tick, EngineOrderRow row, MonotonicTime until) {
        limits.entrySet()
                .removeIf(entry -> !announced.containsKey(entry.getKey())
                        && entry.getValue().until().plus(LIMIT_RETENTION).isBefore(tick.now()));
        limits.compute(
                row.engine().name(),
                (_engine, limit) -> limit != null && limit.isFor(row)
                        ? limit
                        : new RenewalLimit(row.model(), row.version(), until.plus(MAXIMUM_RENEWAL)));
    }

    /**
     * Ends the announced loads of engines that no longer load.
     *
     * @param tick The tick.
     * @param ended Returns whether an engine's load has ended.
     */
    void endWhere(Tick tick, Predicate<EndpointName> ended) {
        for (Announcement load : List.copyOf(announced.values())) {
            if (ended.test(load.engine())) {
                announced.remove(load.engine());
                notify(tick, new OrderMessage.LoadEnded(load.engine(), load.model()));
            }
        }
    }

    /** Forgets the announced loads without ending them, as their engines may still load. Their notices expire. */
    void forget() {
        announced.clear();
        limits.clear();
        recipients = Set.of();
    }

    /**
     * Sends a message to the nodes that run jobs, and to the batch system of this node.
     *
     * @param tick The tick.
     * @param message The message.
     */
    private void notify(Tick tick, OrderMessage message) {
        recipients.forEach(node -> tick.emit(new PeerEffect.Send(node, message)));
        tick.raise(new OrderEvent.LoadNotified(message));
    }

    /**
     * The limit of the renewals of a version's notice.
     *
     * @param model The model.
     * @param version The version.
     * @param until Until when the notice may be extended.
     */
    private record RenewalLimit(String model, long version, MonotonicTime until) {

        /**
         * Returns whether the limit applies to an update.
         *
         * @param row The engine's row.
         * @return {@code true} if the update is to the same version.
         */
        boolean isFor(EngineOrderRow row) {
            return model.equals(row.model()) && version == row.version();
        }
    }

    /**
     * An announced load.
     *
     * @param engine The engine.
     * @param model The model.
     * @param version The version.
     * @param until When the load is expected to end.
     */
    private record Announcement(EndpointName engine, String model, long version, MonotonicTime until) {

        /**
         * Returns the notice of the load.
         *
         * @param now The current time.
         * @return The notice, with the remaining time.
         */
        OrderMessage message(MonotonicTime now) {
            return new OrderMessage.LoadAnnounced(
                    engine, model, version, until.since(now).toMillis());
        }
    }
}
