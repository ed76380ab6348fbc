package io.yuccaswitch.node.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.modelversion.NamedVersion;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.platform.ObjectApiDialect;
import java.util.Optional;
import java.util.function.Function;

/**
 * The dialects of messages on the wire, and the readers of objects that others store on the platform.
 *
 * @param callers The dialect of callers.
 * @param endpoints The dialect of endpoints.
 * @param platform The dialect of the platform.
 * @param cloud The dialect of the cloud.
 * @param endpointEntries Reads an endpoint's entry in the registry.
 * @param routeConfigurations Reads a route configuration.
 * @param namedVersions Reads a version that a trainer named.
 */
public record GatewayDialects(
        CallerDialect callers,
        EndpointDialect endpoints,
        ObjectApiDialect platform,
        CloudDialect cloud,
        Function<StoredObject, Optional<RegisteredEndpoint>> endpointEntries,
        Function<StoredObject, Optional<RouteConfiguration>> routeConfigurations,
        Function<StoredObject, Optional<NamedVersion>> namedVersions) {

    /** The prefix of the names of the counters of objects that can't be read. */
    private static final String UNREADABLE_PREFIX = "gateway.unreadable-objects.";

    /**
     * Returns these dialects with readers that count the objects that they can't read, by kind.
     *
     * @param metrics The registry of metrics.
     * @return The dialects.
     */
    GatewayDialects counted(MetricRegistry metrics) {
        return new GatewayDialects(
                callers,
                endpoints,
                platform,
                cloud,
                counted(metrics.counter(UNREADABLE_PREFIX + "endpoint"), endpointEntries),
                counted(metrics.counter(UNREADABLE_PREFIX + "configuration"), routeConfigurations),
                counted(metrics.counter(UNREADABLE_PREFIX + "version"), namedVersions));
    }

    /**
     * Returns a reader that counts the objects that it can't read.
     *
     * @param unreadable The counter.
     * @param reader The reader.
     * @param <T> The type of what is read.
     * @return The reader.
     */
    private static <T> Function<StoredObject, Optional<T>> counted(
            Counter unreadable, Function<StoredObject, Optional<T>> reader) {
        return object -> {
            Optional<T> read = reader.apply(object);
            if (read.isEmpty()) {
                unreadable.inc();
            }
            return read;
        };
    }
}
