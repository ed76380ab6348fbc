package io.yuccaswitch.core.admission;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.proxy.ReportedLoad;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Estimates how many slots of each endpoint this node can use: from its own requests in flight, the load that the
 * endpoint reported and its recent refusals. Tens of nodes share endpoints of a few slots, and each answer changes the
 * load, so nodes don't exchange it: the report that comes with each answer is fresher than a message.
 */
public final class PoolOccupancy {

    /** How long a reported load is used. Callers whose latency target is some 180 ms change it completely in 400 ms. */
    private static final Duration REPORT_VALIDITY = Duration.ofMillis(400);

    /** The time of one slot if no answer was measured. */
    private static final Duration DEFAULT_SLOT_TIME = Duration.ofMillis(30);

    /** Returns the number of this node's requests in flight at an endpoint. */
    private final ToIntFunction<RegisteredEndpoint> inFlight;

    /** The state of the endpoints. */
    private final Map<EndpointName, Row> rows = new HashMap<>();

    /**
     * Creates an occupancy without reports.
     *
     * @param inFlight Returns the number of this node's requests in flight at an endpoint.
     */
    public PoolOccupancy(ToIntFunction<RegisteredEndpoint> inFlight) {
        this.inFlight = inFlight;
    }

    /**
     * Records the load that an endpoint reported. All of this node's requests are taken to be included in it: where one
     * isn't, the endpoint refuses a request too many, which costs less than a slot that stays empty.
     *
     * @param endpoint The endpoint.
     * @param load The load.
     * @param own The number of this node's requests at the endpoint when it reported.
     * @param now The current time.
     */
    public void recordLoad(RegisteredEndpoint endpoint, ReportedLoad load, int own, MonotonicTime now) {
        Row row = row(endpoint);
        row.others = Math.max(0, load.requests() - own);
        row.reportedAt = Optional.of(now);
    }

    /**
     * Records that an endpoint refused a request without running it. The first refusal marks it full until one of its
     * slots is expected to become free, and each further one in a row for as much longer, up to the time of one slot. A
     * whole slot time from the second refusal on would leave slots unused that other nodes free: in the replayed load
     * of 51 nodes at 90% of the capacity, 91% instead of 98% of the requests were answered within their latency target.
     *
     * @param endpoint The endpoint.
     * @param slotTime The time for which a request occupies a slot, or zero if it is unknown.
     * @param now The current time.
     */
    public void recordRefusal(RegisteredEndpoint endpoint, Duration slotTime, MonotonicTime now) {
        Row row = row(endpoint);
        row.refusals++;
        int slots = Math.max(1, endpoint.slots());
        row.fullUntil = now.plus(
                known(slotTime).multipliedBy(Math.min(row.refusals, slots)).dividedBy(slots));
    }

    /**
     * Records that an endpoint took a request.
     *
     * @param endpoint The endpoint.
     */
    public void recordTaken(RegisteredEndpoint endpoint) {
        row(endpoint).refusals = 0;
    }

    /**
     * Returns the number of requests that this node may send to an endpoint now. A node without a recent report uses
     * its share of the slots. It may also do so once a report is older than the time of one slot: the requests that the
     * report counted have ended by then, and a node without a request in flight gets no newer report.
     *
     * @param endpoint The endpoint.
     * @param situation The state of the pool.
     * @param slotTime The time for which a request occupies a slot, or zero if it is unknown.
     * @return The number of free slots, at least zero.
     */
    public int freeSlots(RegisteredEndpoint endpoint, PoolSituation situation, Duration slotTime) {
        Row row = row(endpoint);
        if (situation.now().isBefore(row.fullUntil)) {
            return 0;
        }
        int own = inFlight.applyAsInt(endpoint);
        int slots = Math.max(1, endpoint.slots());
        int share = Math.max(1, slots / situation.nodes());
        if (!hasReport(endpoint, situation.now())) {
            return Math.max(0, share - own);
        }
        Duration age = situation.now().since(row.reportedAt.orElseThrow());
        int reported = slots - row.others;
        return Math.max(0, (age.compareTo(known(slotTime)) < 0 ? reported : Math.max(reported, share)) - own);
    }

    /**
     * Returns the number of slots that this node can use, occupied or free.
     *
     * @param endpoints The endpoints.
     * @param situation The state of the pool.
     * @param slotTime The time for which a request occupies a slot, or zero if it is unknown.
     * @return The number of slots, at least one.
     */
    public int usableSlots(List<RegisteredEndpoint> endpoints, PoolSituation situation, Duration slotTime) {
        int slots = endpoints.stream()
                .mapToInt(endpoint -> inFlight.applyAsInt(endpoint) + freeSlots(endpoint, situation, slotTime))
                .sum();
        return Math.max(1, slots);
    }

    /**
     * Returns whether an endpoint reported its load recently.
     *
     * @param endpoint The endpoint.
     * @param now The current time.
     * @return {@code true} if the report is used.
     */
    public boolean hasReport(RegisteredEndpoint endpoint, MonotonicTime now) {
        return row(endpoint)
                .reportedAt
                .filter(at -> now.since(at).compareTo(REPORT_VALIDITY) < 0)
                .isPresent();
    }

    /**
     * Returns when the number of free slots changes next by the passing of time alone.
     *
     * @param situation The state of the pool.
     * @param slotTime The time for which a request occupies a slot, or zero if it is unknown.
     * @return The time until then, or empty if it does not change.
     */
    public Optional<Duration> untilNextChange(PoolSituation situation, Duration slotTime) {
        MonotonicTime now = situation.now();
        Optional<Duration> next = Optional.empty();
        for (RegisteredEndpoint endpoint : situation.working()) {
            Row row = row(endpoint);
            MonotonicTime[] changes = {
                row.fullUntil,
                row.reportedAt.map(at -> at.plus(known(slotTime))).orElse(now),
                row.reportedAt.map(at -> at.plus(REPORT_VALIDITY)).orElse(now)
            };
            for (MonotonicTime change : changes) {
                Duration left = change.since(now);
                if (!left.isNegative() && !left.isZero()) {
                    next = next.filter(found -> found.compareTo(left) <= 0).or(() -> Optional.of(left));
                }
            }
        }
        return next;
    }

    /**
     * Removes endpoints that no longer exist.
     *
     * @param existing The existing endpoints.
     */
    public void retain(List<RegisteredEndpoint> existing) {
        Set<EndpointName> names = new HashSet<>();
        existing.forEach(endpoint -> names.add(endpoint.name()));
        rows.keySet().retainAll(names);
    }

    /**
     * Returns the time of one slot.
     *
     * @param slotTime The measured time, or zero if it is unknown.
     * @return The time, which is never zero.
     */
    private static Duration known(Duration slotTime) {
        return slotTime.isZero() ? DEFAULT_SLOT_TIME : slotTime;
    }

    /**
     * Returns the state of an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The row.
     */
    private Row row(RegisteredEndpoint endpoint) {
        return rows.computeIfAbsent(endpoint.name(), _name -> new Row());
    }

    /** The state of one endpoint. */
    private static final class Row {

        /** The number of requests of other senders that the endpoint last reported. */
        private int others;

        /** When the endpoint last reported its load, if it did. */
        private Optional<MonotonicTime> reportedAt = Optional.empty();

        /** The number of consecutive refusals. */
        private int refusals;

        /** Until when the endpoint counts as full. */
        private MonotonicTime fullUntil = new MonotonicTime(Long.MIN_VALUE / 2);
    }
}
