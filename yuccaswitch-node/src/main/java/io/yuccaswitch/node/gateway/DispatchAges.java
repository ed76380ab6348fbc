package io.yuccaswitch.node.gateway;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegistryAge;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.Optional;
import org.jboss.logging.Logger;

/** Tells how old what this node knows of endpoints is when requests leave for them. */
final class DispatchAges {

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(DispatchAges.class);

    /** What the core knows. */
    private final GatewayView view;

    /** The ages, in milliseconds. */
    private final Histogram ages;

    /**
     * Creates an observer that has seen nothing.
     *
     * @param view What the core knows.
     * @param metrics The metrics.
     */
    DispatchAges(GatewayView view, MetricRegistry metrics) {
        this.view = view;
        ages = metrics.histogram("gateway.registry-age-millis");
    }

    /**
     * Notes that a request is about to be written.
     *
     * @param endpoint The endpoint.
     * @param request The identifier of the request.
     * @return {@code true}, as any request may be sent.
     */
    boolean note(EndpointName endpoint, String request) {
        Optional<Duration> age = view.registryAge(DecisionLoop.now());
        age.ifPresent(known -> ages.update(known.toMillis()));
        if (age.filter(known -> known.compareTo(RegistryAge.LIMIT) <= 0).isEmpty()) {
            LOGGER.warnf(
                    "event=dispatch-late id=%s endpoint=%s registryAgeMillis=%d limitMillis=%d",
                    request, endpoint, age.map(Duration::toMillis).orElse(-1L), RegistryAge.LIMIT.toMillis());
        }
        return true;
    }
}
