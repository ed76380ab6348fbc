package io.yuccaswitch.core.admission;

import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.proxy.RetryDelay;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Assigns the times at which refused callers return, so that they don't return together: one caller for each slot that
 * becomes free, in the order in which callers should be served. An account gets at most its share of the times, and
 * less urgent callers leave every second time to more urgent ones. Times that were already told can't be moved for an
 * account that had no refused caller before: its first caller may get a time that is reserved for a later turn of
 * another account. A time is a hint: callers return to any node, and are admitted like any other.
 */
public final class RetryReservations {

    /** The share of the remaining time that a caller waits at most. It honours no longer delay. */
    private static final int REMAINING_TIME_DIVISOR = 3;

    /** The random part of a delay, so that callers of different nodes with equal times don't return together. */
    private static final double JITTER = 0.1;

    /** How long an account without further refusals counts as active. */
    private static final Duration ACCOUNT_VALIDITY = Duration.ofSeconds(2);

    /** The maximum number of reservations, some 10 s of the rate of 3 endpoints with 6 slots and 100 ms of work. */
    private static final int MAXIMUM_RESERVATIONS = 2048;

    /** The reserved times in nanoseconds, with their callers. */
    private final TreeMap<Long, Caller> reserved = new TreeMap<>();

    /** The accounts of callers that were refused recently. */
    private final Map<CallerName, Flow> flows = new HashMap<>();

    /**
     * Assigns the time at which a refused caller returns.
     *
     * @param caller The caller.
     * @param capacity When slots become free.
     * @param remaining The remaining time of the caller.
     * @param now The current time.
     * @param drawn A random number, uniformly distributed from 0 (inclusive) to 1 (exclusive).
     * @return The delay until then, at most a third of the remaining time. If no slot becomes free before that, it is
     *     about that third.
     */
    public Duration reserve(Caller caller, Capacity capacity, Duration remaining, MonotonicTime now, double drawn) {
        expire(now);
        flows.computeIfAbsent(caller.account(), _account -> new Flow()).refused(caller, now);
        Duration limit = remaining.isNegative() ? Duration.ZERO : remaining.dividedBy(REMAINING_TIME_DIVISOR);
        long time = firstFreeTime(
                caller.account(),
                earliestTime(caller, capacity, now),
                capacity.interval().toNanos());
        Duration delay = new MonotonicTime(time).since(now);
        if (delay.compareTo(limit) > 0 || reserved.size() >= MAXIMUM_RESERVATIONS) {
            return Duration.ofNanos((long) (limit.toNanos() * (1 - JITTER * drawn)));
        }
        reserved.put(time, caller);
        flows.get(caller.account()).latest = time;
        Duration spread = RetryDelay.spread(delay, JITTER, drawn);
        return spread.compareTo(limit) < 0 ? spread : limit;
    }

    /**
     * Returns the earliest time that a caller can get by its share and urgency.
     *
     * @param caller The caller.
     * @param capacity When slots become free.
     * @param now The current time.
     * @return The time in nanoseconds.
     */
    private long earliestTime(Caller caller, Capacity capacity, MonotonicTime now) {
        Duration untilFree = capacity.untilFree();
        Duration least = untilFree.compareTo(RetryDelay.MINIMUM_DELAY) < 0 ? RetryDelay.MINIMUM_DELAY : untilFree;
        long earliest = now.plus(least).nanoseconds();
        long interval = capacity.interval().toNanos();
        Flow flow = flows.get(caller.account());
        if (flow.latest > now.nanoseconds()) {
            int total = flows.values().stream().mapToInt(other -> other.weight).sum();
            earliest = Math.max(earliest, flow.latest + interval * total / caller.weight());
        }
        boolean moreUrgent = flows.values().stream().anyMatch(other -> other.priority < caller.priority());
        if (!moreUrgent) {
            return earliest;
        }
        long latest = reserved.entrySet().stream()
                .filter(entry -> entry.getValue().priority() >= caller.priority())
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(now.nanoseconds());
        return Math.max(earliest, latest + 2 * interval);
    }

    /**
     * Returns the first time that is at least an interval away from those that other accounts reserved up to the same
     * turn. The first turn of each account comes before the second turn of any: otherwise two accounts with many
     * refused callers reserve all times of the near future, and the only caller of a small account returns after a
     * third of its time, when its latency target has passed.
     *
     * @param account The account of the caller.
     * @param earliest The earliest time in nanoseconds.
     * @param interval The interval in nanoseconds.
     * @return The time in nanoseconds, which is not reserved yet.
     */
    private long firstFreeTime(CallerName account, long earliest, long interval) {
        long turn = 1
                + reserved.values().stream()
                        .filter(other -> other.account().equals(account))
                        .count();
        Map<CallerName, Integer> turns = new HashMap<>();
        long time = earliest;
        for (Map.Entry<Long, Caller> entry : reserved.entrySet()) {
            int other = turns.merge(entry.getValue().account(), 1, Integer::sum);
            if (other <= turn && Math.abs(entry.getKey() - time) < interval) {
                time = entry.getKey() + interval;
            }
        }
        while (reserved.containsKey(time)) {
            time++;
        }
        return time;
    }

    /**
     * Removes reservations whose time has come, and accounts without recent refusals.
     *
     * @param now The current time.
     */
    private void expire(MonotonicTime now) {
        reserved.headMap(now.nanoseconds()).clear();
        flows.values().removeIf(flow -> now.since(flow.refusedAt).compareTo(ACCOUNT_VALIDITY) > 0);
    }

    /**
     * A refused caller.
     *
     * @param account The account.
     * @param weight The weight of the account, at least one.
     * @param priority The priority, where 0 is the most urgent.
     */
    public record Caller(CallerName account, int weight, int priority) {}

    /**
     * When slots become free for callers of this node.
     *
     * @param untilFree The time until a slot is free that no waiting request takes.
     * @param interval The time between two slots that become free.
     */
    public record Capacity(Duration untilFree, Duration interval) {

        /**
         * Validates the interval.
         *
         * @param untilFree The time until a slot is free that no waiting request takes.
         * @param interval The time between two slots that become free.
         */
        public Capacity {
            if (interval.isZero() || interval.isNegative()) {
                throw new IllegalArgumentException("Invalid interval: " + interval);
            }
        }
    }

    /** The refusals of one account. */
    private static final class Flow {

        /** The weight of the account. */
        private int weight;

        /** The priority of its latest refused request. */
        private int priority;

        /** When its latest request was refused. */
        private MonotonicTime refusedAt;

        /** The latest time that is reserved for it, in nanoseconds. */
        private long latest = Long.MIN_VALUE;

        /**
         * Records a refusal.
         *
         * @param caller The caller.
         * @param now The current time.
         */
        private void refused(Caller caller, MonotonicTime now) {
            weight = Math.max(1, caller.weight());
            priority = caller.priority();
            refusedAt = now;
        }
    }
}
