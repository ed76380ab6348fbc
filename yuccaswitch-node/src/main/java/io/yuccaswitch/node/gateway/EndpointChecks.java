package io.yuccaswitch.node.gateway;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.protocol.PeerAddresses;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;

/**
 * Finds out whether an endpoint whose connection ended under a request has itself ended, by connecting to it once. The
 * registry tells so only after seconds, and an endpoint that merely broke an answer off must not be taken for gone.
 */
final class EndpointChecks {

    /** How long connecting may take: many round trips within a region. A VM that is gone does not answer at all. */
    private static final Duration TIMEOUT = Duration.ofMillis(100);

    /** The largest number of checks at once, such that the loss of many endpoints costs few threads. */
    private static final int MAXIMUM_CHECKS = 8;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(EndpointChecks.class);

    /** The metrics. */
    private final MetricRegistry metrics;

    /** The endpoints that are being checked. */
    private final Set<EndpointName> checking = ConcurrentHashMap.newKeySet();

    /**
     * Creates checks.
     *
     * @param metrics The metrics.
     */
    EndpointChecks(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Checks an endpoint on another thread, unless that is being done.
     *
     * @param endpoint The endpoint.
     */
    void check(RegisteredEndpoint endpoint) {
        if (checking.size() < MAXIMUM_CHECKS && checking.add(endpoint.name())) {
            Schedulers.io().scheduleDirect(() -> run(endpoint));
        }
    }

    /**
     * Checks an endpoint and reports what it says.
     *
     * @param endpoint The endpoint.
     */
    private void run(RegisteredEndpoint endpoint) {
        long begun = System.nanoTime();
        Result result = connect(endpoint);
        checking.remove(endpoint.name());
        metrics.counter("gateway.endpoint-checks." + result.name().toLowerCase(Locale.ROOT))
                .inc();
        LOGGER.infof(
                "event=endpoint-check endpoint=%s result=%s micros=%d",
                endpoint.name(), result, (System.nanoTime() - begun) / 1000);
    }

    /**
     * Connects to an endpoint and closes the connection.
     *
     * @param endpoint The endpoint.
     * @return What that says.
     */
    private static Result connect(RegisteredEndpoint endpoint) {
        Optional<InetSocketAddress> address = PeerAddresses.parse(endpoint.address());
        if (address.isEmpty()) {
            return Result.UNKNOWN;
        }
        try (Socket socket = new Socket()) {
            socket.connect(address.get(), (int) TIMEOUT.toMillis());
            return Result.LIVES;
        } catch (ConnectException _exception) {
            return Result.ENDED;
        } catch (IOException _exception) {
            return Result.UNKNOWN;
        }
    }

    /** What a check says of an endpoint. */
    enum Result {
        /** Something listens at its address. */
        LIVES,
        /** Nothing listens at its address any more. */
        ENDED,
        /** There was no answer in time. */
        UNKNOWN
    }
}
