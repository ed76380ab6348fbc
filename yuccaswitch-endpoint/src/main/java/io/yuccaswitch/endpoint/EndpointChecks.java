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
 * Finds out whether an endpoint whose connection ended under a request has itself ended, by connecting to it once. The
 * registry tells so only after seconds, and an endpoint that merely broke an answer off must not be taken for gone.
 */
public final class EndpointChecks {

    /** How long connecting may take: many round trips within a region. A VM that is gone does not answer at all. */
    private static final Duration TIMEOUT = Duration.ofMillis(100);

    /** The largest number of checks at once, such that the loss of many endpoints does not hold up as many requests. */
    private static final int MAXIMUM_CHECKS = 16;

    /**
     * How long an endpoint that has ended is not checked again, such that all requests that were at it cost one check.
     */
    private static final Duration ENDED_TIME = Duration.ofMillis(500);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(EndpointChecks.class);

    /** The metrics. */
    private final MetricRegistry metrics;

    /** The endpoints that have ended, with when that was found, in nanoseconds. */
    private final Map<EndpointName, Long> ended = new ConcurrentHashMap<>();

    /** The number of checks in progress. */
    private final AtomicInteger running = new AtomicInteger();

    /**
     * Creates checks.
     *
     * @param metrics The metrics.
     */
    public EndpointChecks(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Judges why an attempt that may have run brought no answer. This blocks for a round trip if the connection ended.
     *
     * @param endpoint The endpoint.
     * @param address Its address as host:port.
     * @param transmission The watcher of the attempt's call.
     * @param brokenOff Whether this node broke the attempt off.
     * @return What the loss says of the endpoint.
     */
    public Loss judge(EndpointName endpoint, String address, Transmission transmission, boolean brokenOff) {
        if (brokenOff) {
            return new Loss(Loss.Cause.BROKEN_OFF, transmission.isOnNewConnection());
        }
        boolean lived = transmission.reachedLivingEndpoint();
        return new Loss(cause(endpoint, address), lived);
    }

    /**
     * Finds out why the connection to an endpoint ended.
     *
     * @param endpoint The endpoint.
     * @param address Its address.
     * @return The cause.
     */
    private Loss.Cause cause(EndpointName endpoint, String address) {
        long now = System.nanoTime();
        ended.values().removeIf(at -> now - at > ENDED_TIME.toNanos());
        if (ended.containsKey(endpoint)) {
            return Loss.Cause.ENDPOINT_ENDED;
        }
        if (running.incrementAndGet() > MAXIMUM_CHECKS) {
            running.decrementAndGet();
            return Loss.Cause.CONNECTION_LOST;
        }
        Loss.Cause cause = connect(address);
        running.decrementAndGet();
        if (cause == Loss.Cause.ENDPOINT_ENDED) {
            ended.put(endpoint, System.nanoTime());
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
     * @return What that says.
     */
    private static Loss.Cause connect(String address) {
        Optional<InetSocketAddress> target = parse(address);
        if (target.isEmpty()) {
            return Loss.Cause.CONNECTION_LOST;
        }
        try (Socket socket = new Socket()) {
            socket.connect(target.get(), (int) TIMEOUT.toMillis());
            return Loss.Cause.UNUSABLE;
        } catch (ConnectException _exception) {
            return Loss.Cause.ENDPOINT_ENDED;
        } catch (IOException _exception) {
            return Loss.Cause.CONNECTION_LOST;
        }
    }

    /**
     * Parses an address. Names are not looked up, since that could block.
     *
     * @param address The address as host:port.
     * @return The address, or empty if it has no IP number.
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
