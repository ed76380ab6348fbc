package io.yuccaswitch.core.proxy;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses endpoints for plain requests by this node's own measurements and the loads that endpoints tell. Endpoints
 * that failed are left alone for a while, unless all of them did.
 */
public final class EndpointSelection {

    /** The time that an answer is expected to take where nothing was measured, of any endpoint of the pool. */
    private static final double DEFAULT_MILLIS = 30;

    /**
     * What a new connection adds to the time of an answer, in milliseconds: a round trip and work at the endpoint.
     * Where endpoints are equally good, the one to which a connection is open is taken.
     */
    private static final double CONNECTING_MILLIS = 3;

    /** For how long after an answer a connection is taken to be open, below the time for which idle ones are kept. */
    private static final Duration OPEN_TIME = Duration.ofSeconds(4);

    /** The weight of the newest measurement in the mean of an endpoint. */
    private static final double NEWEST_WEIGHT = 0.4;

    /** After how long a mean is forgotten, such that an endpoint that was slow gets a request again. */
    private static final Duration MEMORY = Duration.ofMillis(2500);

    /** For how long a load that an endpoint told counts. */
    private static final Duration LOAD_VALIDITY = Duration.ofMillis(400);

    /** The first pause after a failure. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(500);

    /** The longest pause after failures in a row. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(4);

    /** The mark-up for an endpoint in another availability zone: between equal ones the nearer one is taken. */
    private static final double OTHER_ZONE_FACTOR = 1.15;

    /** The availability zone of this node. */
    private final AvailabilityZone ownZone;

    /** The name of this node, by which nodes that know equally little choose different endpoints. */
    private final String node;

    /** What is known of the endpoints. */
    private final Map<EndpointName, Row> rows = new HashMap<>();

    /**
     * Creates a selection without measurements.
     *
     * @param ownZone The availability zone of this node.
     * @param node The name of this node.
     */
    public EndpointSelection(AvailabilityZone ownZone, String node) {
        this.ownZone = ownZone;
        this.node = node;
    }

    /**
     * Chooses an endpoint.
     *
     * @param working The endpoints that may get new work.
     * @param excluded The endpoints that the request was sent to already, which are taken only if there is no other.
     * @param now The present.
     * @return The endpoint, or empty if there is none.
     */
    public Optional<RegisteredEndpoint> choose(
            List<RegisteredEndpoint> working, Set<EndpointName> excluded, MonotonicTime now) {
        double usual = usualMillis(working, now);
        return working.stream()
                .min(Comparator.comparing((RegisteredEndpoint endpoint) -> excluded.contains(endpoint.name()))
                        .thenComparing(endpoint -> row(endpoint).isPaused(now))
                        .thenComparingDouble(endpoint -> cost(endpoint, usual, now))
                        .thenComparingInt(endpoint -> preference(endpoint.name()))
                        .thenComparing(RegisteredEndpoint::name));
    }

    /**
     * Returns the rank of an endpoint at this node, which differs between nodes.
     *
     * @param endpoint The endpoint.
     * @return The rank.
     */
    private int preference(EndpointName endpoint) {
        return Hashing.murmur3_32_fixed()
                .hashString(node + '\n' + endpoint.value(), StandardCharsets.UTF_8)
                .asInt();
    }

    /**
     * Returns the time that an answer of the endpoints usually takes, which is expected of those that were not
     * measured.
     *
     * @param working The endpoints.
     * @param now The present.
     * @return The mean of the measured ones, in milliseconds.
     */
    private double usualMillis(List<RegisteredEndpoint> working, MonotonicTime now) {
        return working.stream()
                .map(this::row)
                .filter(row -> row.isMeasured(now) && !row.late)
                .mapToDouble(row -> row.meanMillis)
                .average()
                .orElse(DEFAULT_MILLIS);
    }

    /**
     * Returns the number of this node's requests in progress at an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The number.
     */
    public int running(RegisteredEndpoint endpoint) {
        return row(endpoint).running;
    }

    /**
     * Counts a request that is sent.
     *
     * @param endpoint The endpoint.
     */
    public void begin(RegisteredEndpoint endpoint) {
        row(endpoint).running++;
    }

    /**
     * Counts a request that ended.
     *
     * @param endpoint The endpoint.
     */
    public void end(RegisteredEndpoint endpoint) {
        row(endpoint).running--;
    }

    /**
     * Takes the time that an answer took.
     *
     * @param endpoint The endpoint.
     * @param took The time.
     * @param now The present.
     */
    public void succeed(RegisteredEndpoint endpoint, Duration took, MonotonicTime now) {
        Row row = row(endpoint);
        row.measure(took, now);
        row.late = false;
        row.failures = 0;
    }

    /**
     * Takes an attempt that was broken off because it took too long, which says that an answer takes longer still.
     *
     * @param endpoint The endpoint.
     * @param took The time until it was broken off.
     * @param now The present.
     */
    public void slow(RegisteredEndpoint endpoint, Duration took, MonotonicTime now) {
        Row row = row(endpoint);
        row.measure(took.multipliedBy(2), now);
        row.late = true;
    }

    /**
     * Takes a failure, after which the endpoint is left alone for a while.
     *
     * @param endpoint The endpoint.
     * @param now The present.
     */
    public void fail(RegisteredEndpoint endpoint, MonotonicTime now) {
        Row row = row(endpoint);
        row.failures++;
        Duration pause = FIRST_PAUSE.multipliedBy(1L << Math.min(row.failures - 1, 5));
        row.pausedUntil = now.plus(pause.compareTo(LONGEST_PAUSE) < 0 ? pause : LONGEST_PAUSE);
    }

    /**
     * Takes the load that an endpoint told.
     *
     * @param endpoint The endpoint.
     * @param running The number of requests that it runs or that wait there.
     * @param now The present.
     */
    public void tell(RegisteredEndpoint endpoint, int running, MonotonicTime now) {
        Row row = row(endpoint);
        row.told = running;
        row.toldAt = now;
    }

    /**
     * Estimates when a place will be free at any of some endpoints.
     *
     * @param working The endpoints that may get new work.
     * @param now The present.
     * @return The time, which is that of one answer where there is no endpoint.
     */
    public Duration untilFree(List<RegisteredEndpoint> working, MonotonicTime now) {
        double millis = working.stream()
                .mapToDouble(endpoint -> untilFree(endpoint, now))
                .min()
                .orElse(DEFAULT_MILLIS);
        return Duration.ofNanos((long) (millis * 1e6));
    }

    /**
     * Forgets endpoints that are gone.
     *
     * @param present The endpoints that there are.
     */
    public void retain(Collection<RegisteredEndpoint> present) {
        Set<EndpointName> names = new java.util.HashSet<>();
        present.forEach(endpoint -> names.add(endpoint.name()));
        rows.entrySet().removeIf(entry -> entry.getValue().running <= 0 && !names.contains(entry.getKey()));
    }

    /**
     * Estimates when a place will be free at an endpoint: its places come free one after the other within the time of
     * an answer, behind the requests that wait there. A pause does not count, as it ends where no other is left.
     *
     * @param endpoint The endpoint.
     * @param now The present.
     * @return The time in milliseconds.
     */
    private double untilFree(RegisteredEndpoint endpoint, MonotonicTime now) {
        Row row = row(endpoint);
        int slots = Math.max(1, endpoint.slots());
        int ahead = Math.max(1, Math.max(row.running, row.load(now)) - slots + 1);
        return row.expectedMillis(now) * ahead / slots;
    }

    /**
     * Estimates the time that an answer of an endpoint takes.
     *
     * @param endpoint The endpoint.
     * @param usual The time that is expected of an endpoint that was not measured, in milliseconds.
     * @param now The present.
     * @return The time in milliseconds.
     */
    private double cost(RegisteredEndpoint endpoint, double usual, MonotonicTime now) {
        Row row = row(endpoint);
        int load = Math.max(row.running, row.load(now));
        double busy = (double) load / Math.max(1, endpoint.slots());
        double factor = endpoint.availabilityZone().equals(ownZone) ? 1 : OTHER_ZONE_FACTOR;
        double expected = row.isMeasured(now) ? row.meanMillis : usual;
        return expected * (1 + busy) * factor + (row.isConnected(now) ? 0 : CONNECTING_MILLIS);
    }

    /**
     * Returns what is known of an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The row.
     */
    private Row row(RegisteredEndpoint endpoint) {
        return rows.computeIfAbsent(endpoint.name(), _name -> new Row());
    }

    /** What is known of one endpoint. */
    private static final class Row {

        /** The number of this node's requests in progress. */
        private int running;

        /** The mean time of answers in milliseconds. */
        private double meanMillis = DEFAULT_MILLIS;

        /** Whether the last measurement was of an answer that did not come in time, which tells nothing of others. */
        private boolean late;

        /** When an answer was last measured. */
        private MonotonicTime measuredAt = new MonotonicTime(Long.MIN_VALUE / 2);

        /** The load that the endpoint last told. */
        private int told;

        /** When the endpoint last told its load. */
        private MonotonicTime toldAt = new MonotonicTime(Long.MIN_VALUE / 2);

        /** The number of failures in a row. */
        private int failures;

        /** Until when the endpoint is left alone. */
        private MonotonicTime pausedUntil = new MonotonicTime(Long.MIN_VALUE / 2);

        /**
         * Takes a measurement.
         *
         * @param took The time.
         * @param now The present.
         */
        private void measure(Duration took, MonotonicTime now) {
            double millis = took.toNanos() / 1e6;
            meanMillis = expectedMillis(now) * (1 - NEWEST_WEIGHT) + millis * NEWEST_WEIGHT;
            measuredAt = now;
        }

        /**
         * Returns the time that an answer is expected to take.
         *
         * @param now The present.
         * @return The time in milliseconds.
         */
        private double expectedMillis(MonotonicTime now) {
            return isMeasured(now) ? meanMillis : DEFAULT_MILLIS;
        }

        /**
         * Returns whether an answer was measured lately.
         *
         * @param now The present.
         * @return {@code true} if one was.
         */
        private boolean isMeasured(MonotonicTime now) {
            return now.since(measuredAt).compareTo(MEMORY) < 0;
        }

        /**
         * Returns whether a connection to the endpoint is likely open.
         *
         * @param now The present.
         * @return {@code true} if an answer came lately, and nothing failed since.
         */
        private boolean isConnected(MonotonicTime now) {
            return failures == 0 && now.since(measuredAt).compareTo(OPEN_TIME) < 0;
        }

        /**
         * Returns the load that the endpoint told, if that is recent.
         *
         * @param now The present.
         * @return The load.
         */
        private int load(MonotonicTime now) {
            return now.since(toldAt).compareTo(LOAD_VALIDITY) < 0 ? told : 0;
        }

        /**
         * Returns whether the endpoint is left alone.
         *
         * @param now The present.
         * @return {@code true} if it is.
         */
        private boolean isPaused(MonotonicTime now) {
            return now.isBefore(pausedUntil);
        }
    }
}
