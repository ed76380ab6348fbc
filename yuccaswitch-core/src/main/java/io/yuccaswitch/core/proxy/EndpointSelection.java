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
 * Selects endpoints for plain requests by this node's own measurements and the loads that endpoints report. Endpoints
 * that failed are paused for a while, and are used during that time only if there is no other.
 */
public final class EndpointSelection {

    /** The expected time of an answer in milliseconds if no endpoint of the pool was measured. */
    private static final double DEFAULT_ANSWER_MILLIS = 30;

    /**
     * The time that a new connection adds to an answer, in milliseconds: a round trip and processing at the endpoint.
     * Among equal endpoints, one with an open connection is preferred.
     */
    private static final double CONNECTION_SETUP_MILLIS = 3;

    /**
     * How long after an answer a connection is assumed to be open, which is below the time for which idle connections
     * are kept.
     */
    private static final Duration CONNECTION_VALIDITY = Duration.ofSeconds(4);

    /** The weight of the latest measurement in the mean of an endpoint. */
    private static final double LATEST_WEIGHT = 0.4;

    /** How long a mean is used, so that an endpoint that was slow receives requests again. */
    private static final Duration MEAN_VALIDITY = Duration.ofMillis(2500);

    /** How long a load that an endpoint reported is used. */
    private static final Duration LOAD_VALIDITY = Duration.ofMillis(400);

    /**
     * How long a reported slowness is used. It changes many times a second, so an older one says little about the next
     * request.
     */
    private static final Duration SLOWNESS_VALIDITY = Duration.ofMillis(50);

    /** The initial pause after a failure. */
    private static final Duration INITIAL_PAUSE = Duration.ofMillis(500);

    /** The maximum pause after consecutive failures. */
    private static final Duration MAXIMUM_PAUSE = Duration.ofSeconds(4);

    /**
     * The factor on the expected time of an endpoint in another availability zone, so that the nearer one of equal
     * endpoints is preferred.
     */
    private static final double OTHER_ZONE_FACTOR = 1.15;

    /** The availability zone of this node. */
    private final AvailabilityZone ownZone;

    /** The name of this node, which makes nodes without measurements select different endpoints. */
    private final String node;

    /** The state of the endpoints. */
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
     * Selects an endpoint.
     *
     * @param working The endpoints that accept new work.
     * @param excluded The endpoints that the request was already sent to, which are used only if there is no other.
     * @param now The current time.
     * @return The endpoint, or empty if there is none.
     */
    public Optional<RegisteredEndpoint> choose(
            List<RegisteredEndpoint> working, Set<EndpointName> excluded, MonotonicTime now) {
        double typical = typicalMillis(working, now);
        return working.stream()
                .min(Comparator.comparing((RegisteredEndpoint endpoint) -> excluded.contains(endpoint.name()))
                        .thenComparing(endpoint -> row(endpoint).isPaused(now))
                        .thenComparingDouble(endpoint -> estimatedMillis(endpoint, typical, now))
                        .thenComparingInt(endpoint -> preference(endpoint.name()))
                        .thenComparing(RegisteredEndpoint::name));
    }

    /**
     * Returns the rank of an endpoint at this node, by which different nodes prefer different endpoints.
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
     * Returns the typical time of an answer, which is assumed for endpoints without measurements.
     *
     * @param working The endpoints.
     * @param now The current time.
     * @return The mean of the endpoints with measurements, in milliseconds.
     */
    private double typicalMillis(List<RegisteredEndpoint> working, MonotonicTime now) {
        return working.stream()
                .map(this::row)
                .filter(row -> row.isMeasured(now) && !row.timedOut)
                .mapToDouble(row -> row.meanMillis)
                .average()
                .orElse(DEFAULT_ANSWER_MILLIS);
    }

    /**
     * Returns the number of this node's requests in flight at an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The number.
     */
    public int running(RegisteredEndpoint endpoint) {
        return row(endpoint).running;
    }

    /**
     * Returns the numbers of this node's requests in flight.
     *
     * @return The numbers, for endpoints with requests in flight.
     */
    public Map<EndpointName, Integer> running() {
        Map<EndpointName, Integer> running = new HashMap<>();
        rows.forEach((endpoint, row) -> running.put(endpoint, row.running));
        running.values().removeIf(count -> count == 0);
        return running;
    }

    /**
     * Records that a request was sent.
     *
     * @param endpoint The endpoint.
     */
    public void begin(RegisteredEndpoint endpoint) {
        row(endpoint).running++;
    }

    /**
     * Records that a request completed.
     *
     * @param endpoint The endpoint.
     */
    public void end(RegisteredEndpoint endpoint) {
        row(endpoint).running--;
    }

    /**
     * Records the time of an answer.
     *
     * @param endpoint The endpoint.
     * @param elapsed The time.
     * @param now The current time.
     */
    public void recordSuccess(RegisteredEndpoint endpoint, Duration elapsed, MonotonicTime now) {
        Row row = row(endpoint);
        row.measure(elapsed, now);
        row.timedOut = false;
        row.failures = 0;
    }

    /**
     * Records an attempt that was aborted because it took too long. A complete answer would have taken longer than the
     * measured time.
     *
     * @param endpoint The endpoint.
     * @param elapsed The time until the attempt was aborted.
     * @param now The current time.
     */
    public void recordTimeout(RegisteredEndpoint endpoint, Duration elapsed, MonotonicTime now) {
        Row row = row(endpoint);
        row.measure(elapsed.multipliedBy(2), now);
        row.timedOut = true;
    }

    /**
     * Records a failure, after which the endpoint is paused for a while.
     *
     * @param endpoint The endpoint.
     * @param now The current time.
     */
    public void recordFailure(RegisteredEndpoint endpoint, MonotonicTime now) {
        Row row = row(endpoint);
        row.failures++;
        Duration pause = INITIAL_PAUSE.multipliedBy(1L << Math.min(row.failures - 1, 5));
        row.pausedUntil = now.plus(pause.compareTo(MAXIMUM_PAUSE) < 0 ? pause : MAXIMUM_PAUSE);
    }

    /**
     * Records the load that an endpoint reported.
     *
     * @param endpoint The endpoint.
     * @param running The number of requests that are running or waiting there.
     * @param now The current time.
     */
    public void recordLoad(RegisteredEndpoint endpoint, int running, MonotonicTime now) {
        Row row = row(endpoint);
        row.reportedLoad = running;
        row.reportedAt = now;
    }

    /**
     * Records how long work takes on the VM of an endpoint at the moment.
     *
     * @param endpoint The endpoint.
     * @param slowness The time that work takes, as a multiple of the usual time.
     * @param now The current time.
     */
    public void recordSlowness(RegisteredEndpoint endpoint, double slowness, MonotonicTime now) {
        Row row = row(endpoint);
        row.reportedSlowness = slowness;
        row.slownessReportedAt = now;
    }

    /**
     * Returns whether an endpoint is paused after a failure.
     *
     * @param endpoint The endpoint.
     * @param now The current time.
     * @return {@code true} if it is to be used only if there is no other.
     */
    public boolean isPaused(RegisteredEndpoint endpoint, MonotonicTime now) {
        return row(endpoint).isPaused(now);
    }

    /**
     * Estimates the time until a slot is free at any of some endpoints.
     *
     * @param working The endpoints that accept new work.
     * @param now The current time.
     * @return The time, which is that of one answer if there is no endpoint.
     */
    public Duration timeUntilSlotIsFree(List<RegisteredEndpoint> working, MonotonicTime now) {
        double millis = working.stream()
                .mapToDouble(endpoint -> timeUntilSlotIsFree(endpoint, now))
                .min()
                .orElse(DEFAULT_ANSWER_MILLIS);
        return Duration.ofNanos((long) (millis * 1e6));
    }

    /**
     * Removes endpoints that no longer exist.
     *
     * @param existing The existing endpoints.
     */
    public void retain(Collection<RegisteredEndpoint> existing) {
        Set<EndpointName> names = new java.util.HashSet<>();
        existing.forEach(endpoint -> names.add(endpoint.name()));
        rows.entrySet().removeIf(entry -> entry.getValue().running <= 0 && !names.contains(entry.getKey()));
    }

    /**
     * Estimates the time until a slot is free at an endpoint: its slots become free one after the other within the time
     * of an answer, and waiting requests are served first. A pause is ignored, as it has no effect when no other
     * endpoint is left.
     *
     * @param endpoint The endpoint.
     * @param now The current time.
     * @return The time in milliseconds.
     */
    private double timeUntilSlotIsFree(RegisteredEndpoint endpoint, MonotonicTime now) {
        Row row = row(endpoint);
        int slots = Math.max(1, endpoint.slots());
        int ahead = Math.max(1, Math.max(row.running, row.load(now)) - slots + 1);
        return row.expectedMillis(now) * ahead / slots;
    }

    /**
     * Estimates the time of an answer of an endpoint.
     *
     * @param endpoint The endpoint.
     * @param typical The time that is assumed for an endpoint without measurements, in milliseconds.
     * @param now The current time.
     * @return The time in milliseconds.
     */
    private double estimatedMillis(RegisteredEndpoint endpoint, double typical, MonotonicTime now) {
        Row row = row(endpoint);
        int load = Math.max(row.running, row.load(now));
        double busy = (double) load / Math.max(1, endpoint.slots());
        double factor = endpoint.availabilityZone().equals(ownZone) ? 1 : OTHER_ZONE_FACTOR;
        double usual = row.isMeasured(now) ? row.meanMillis : typical;
        double expected = usual * row.slowness(now);
        return expected * (1 + busy) * factor + (row.isConnected(now) ? 0 : CONNECTION_SETUP_MILLIS);
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

        /** The number of this node's requests in flight. */
        private int running;

        /** The mean time of answers in milliseconds. */
        private double meanMillis = DEFAULT_ANSWER_MILLIS;

        /** Whether the last measurement was of an attempt that timed out, which says nothing about other endpoints. */
        private boolean timedOut;

        /** When an answer was last measured. */
        private MonotonicTime measuredAt = new MonotonicTime(Long.MIN_VALUE / 2);

        /** The load that the endpoint last reported. */
        private int reportedLoad;

        /** When the endpoint last reported its load. */
        private MonotonicTime reportedAt = new MonotonicTime(Long.MIN_VALUE / 2);

        /** How long work takes on the endpoint's VM as last reported, as a multiple of the usual time. */
        private double reportedSlowness = 1;

        /** When the endpoint last reported its slowness. */
        private MonotonicTime slownessReportedAt = new MonotonicTime(Long.MIN_VALUE / 2);

        /** The number of consecutive failures. */
        private int failures;

        /** The end of the pause. */
        private MonotonicTime pausedUntil = new MonotonicTime(Long.MIN_VALUE / 2);

        /**
         * Records a measurement.
         *
         * @param elapsed The time.
         * @param now The current time.
         */
        private void measure(Duration elapsed, MonotonicTime now) {
            double millis = elapsed.toNanos() / 1e6;
            meanMillis = expectedMillis(now) * (1 - LATEST_WEIGHT) + millis * LATEST_WEIGHT;
            measuredAt = now;
        }

        /**
         * Returns the expected time of an answer.
         *
         * @param now The current time.
         * @return The time in milliseconds.
         */
        private double expectedMillis(MonotonicTime now) {
            return isMeasured(now) ? meanMillis : DEFAULT_ANSWER_MILLIS;
        }

        /**
         * Returns whether an answer was measured recently.
         *
         * @param now The current time.
         * @return {@code true} if there is a recent measurement.
         */
        private boolean isMeasured(MonotonicTime now) {
            return now.since(measuredAt).compareTo(MEAN_VALIDITY) < 0;
        }

        /**
         * Returns whether a connection to the endpoint is likely open.
         *
         * @param now The current time.
         * @return {@code true} if an answer was received recently, and nothing has failed since.
         */
        private boolean isConnected(MonotonicTime now) {
            return failures == 0 && now.since(measuredAt).compareTo(CONNECTION_VALIDITY) < 0;
        }

        /**
         * Returns the reported load if it is recent.
         *
         * @param now The current time.
         * @return The load, or zero if there is no recent report.
         */
        private int load(MonotonicTime now) {
            return now.since(reportedAt).compareTo(LOAD_VALIDITY) < 0 ? reportedLoad : 0;
        }

        /**
         * Returns the reported slowness if it is recent.
         *
         * @param now The current time.
         * @return The multiple of the usual time, which is 1 if there is no recent report.
         */
        private double slowness(MonotonicTime now) {
            return now.since(slownessReportedAt).compareTo(SLOWNESS_VALIDITY) < 0 ? reportedSlowness : 1;
        }

        /**
         * Returns whether the endpoint is paused.
         *
         * @param now The current time.
         * @return {@code true} if it is paused.
         */
        private boolean isPaused(MonotonicTime now) {
            return now.isBefore(pausedUntil);
        }
    }
}
