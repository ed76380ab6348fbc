package io.yuccaswitch.node.gateway;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegistryFreshness;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import org.jboss.logging.Logger;

/**
 * Checks an endpoint again right before the first byte of a request is written. After the endpoint was chosen, the
 * request may have waited for a connection or the VM may have been suspended, while the endpoint announced that it
 * leaves.
 */
final class DispatchCheck {

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(DispatchCheck.class);

    /** The view of the core. */
    private final GatewayView view;

    /** The age of the endpoints' state at each dispatch, in milliseconds. */
    private final Histogram ages;

    /** The requests that were withheld. */
    private final Meter withheld;

    /**
     * Creates a check.
     *
     * @param view The view of the core.
     * @param metrics The metrics.
     */
    DispatchCheck(GatewayView view, MetricRegistry metrics) {
        this.view = view;
        ages = metrics.histogram("gateway.registry-age-millis");
        withheld = metrics.meter("gateway.withheld-requests");
    }

    /**
     * Returns whether a request that is about to be written may be sent.
     *
     * @param endpoint The endpoint.
     * @param request The identifier of the request.
     * @return {@code false} if the endpoint has left, or may have left without an update to this node.
     */
    boolean maySend(EndpointName endpoint, String request) {
        MonotonicTime now = DecisionLoop.now();
        RegistryFreshness freshness = view.freshness();
        long age = freshness.age(now).map(Duration::toMillis).orElse(-1L);
        boolean working = view.isWorking(endpoint);
        boolean allowed = working && freshness.allowsDispatch(now);
        if (!allowed) {
            withheld.mark();
            LOGGER.infof(
                    "event=request-withheld id=%s endpoint=%s working=%s registryAgeMillis=%d limitMillis=%d",
                    request, endpoint, working, age, RegistryFreshness.MAXIMUM_DISPATCH_AGE.toMillis());
            return false;
        }
        ages.update(age);
        if (!freshness.isFreshEnough(now)) {
            LOGGER.warnf(
                    "event=dispatch-late id=%s endpoint=%s registryAgeMillis=%d limitMillis=%d reason=\"the platform"
                            + " gives this node no answer that can be read\"",
                    request, endpoint, age, RegistryFreshness.MAXIMUM_DISPATCH_AGE.toMillis());
        }
        return true;
    }
}
