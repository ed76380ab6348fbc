package io.yuccaswitch.endpoint;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.quarantine.Loss;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;

/**
 * Determines whether an endpoint whose connection ended during a request has itself terminated, by connecting to it
 * once. The registry reports a termination only after seconds, and an endpoint that merely aborted an answer must not
 * be treated as terminated.
 */
public final class EndpointChecks {

    /**
     * The time to establish a connection, which covers many round trips within a region. A VM that no longer exists
     * does not answer at all.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(100);

    /** The maximum number of concurrent checks, so that the loss of many endpoints does not block as many requests. */
    private static final int MAXIMUM_CONCURRENT_CHECKS = 16;

    /**
     * The time for which a detected termination is valid, so that all requests that were running at the endpoint need
     * only one check.
     */
    private static final Duration TERMINATION_VALIDITY = Duration.ofMillis(500);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(EndpointChecks.class);

    /** The metrics. */
    private final MetricRegistry metrics;

    /** The terminated endpoints, with the time of detection in nanoseconds. */
    private final Map<EndpointName, Long> terminatedEndpoints = new ConcurrentHashMap<>();

    /** The number of checks in progress. */
    private final AtomicInteger checksInProgress = new AtomicInteger();

    /**
     * Creates the checks.
     *
     * @param metrics The metrics.
     */
    public EndpointChecks(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Classifies why an attempt that may have run received no answer. This blocks for a round trip if the connection
     * ended.
     *
     * @param endpoint The endpoint.
     * @param address Its address as host:port.
     * @param transmission The transmission of the attempt's call.
     * @param aborted Whether this node aborted the attempt.
     * @return What the loss implies about the endpoint.
     */
    public Loss judge(EndpointName endpoint, String address, Transmission transmission, boolean aborted) {
        if (aborted) {
            return new Loss(Loss.Cause.BROKEN_OFF, transmission.isOnNewConnection());
        }
        boolean wasRunning = transmission.reachedLivingEndpoint();
        return new Loss(cause(endpoint, address), wasRunning);
    }

    /**
     * Determines why the connection to an endpoint ended.
     *
     * @param endpoint The endpoint.
     * @param address Its address.
     * @return The cause.
     */
    private Loss.Cause cause(EndpointName endpoint, String address) {
        long now = System.nanoTime();
        terminatedEndpoints.values().removeIf(detectedAt -> now - detectedAt > TERMINATION_VALIDITY.toNanos());
        if (terminatedEndpoints.containsKey(endpoint)) {
            return Loss.Cause.ENDPOINT_ENDED;
        }
        if (checksInProgress.incrementAndGet() > MAXIMUM_CONCURRENT_CHECKS) {
            checksInProgress.decrementAndGet();
            return Loss.Cause.CONNECTION_LOST;
        }
        Loss.Cause cause = connect(address);
        checksInProgress.decrementAndGet();
        if (cause == Loss.Cause.ENDPOINT_ENDED) {
            terminatedEndpoints.put(endpoint, System.nanoTime());
        }
        metrics.counter("endpoint.checks." + cause.name().toLowerCase(Locale.ROOT))
                .inc();
        LOGGER.infof(
                "event=endpoint-check endpoint=%s result=%s micros=%d",
                endpoint, cause, (System.nanoTime() - now) / 1000);
        return cause;
    }

    /**
     * Connects to an endpoint and closes the connection.
     *
     * @param address Its address.
     * @return The cause that the connection attempt indicates.
     */
    private static Loss.Cause connect(String address) {
        Optional<InetSocketAddress> target = parse(address);
        if (target.isEmpty()) {
            return Loss.Cause.CONNECTION_LOST;
        }
        try (Socket socket = new Socket()) {
            socket.connect(target.get(), (int) CONNECT_TIMEOUT.toMillis());
            return Loss.Cause.UNUSABLE;
        } catch (ConnectException _exception) {
            return Loss.Cause.ENDPOINT_ENDED;
        } catch (IOException _exception) {
            return Loss.Cause.CONNECTION_LOST;
        }
    }

    /**
     * Parses an address. Host names are not resolved, since a lookup could block.
     *
     * @param address The address as host:port.
     * @return The socket address, or empty if the host is not an IP address.
     */
    private static Optional<InetSocketAddress> parse(String address) {
        try {
            HostAndPort parsed = HostAndPort.fromString(address);
            return Optional.of(new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort()));
        } catch (IllegalArgumentException | IllegalStateException _exception) {
            return Optional.empty();
        }
    }
}
