package io.yuccaswitch.node.gateway;

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
        Function<StoredObject, Optional<NamedVersion>> namedVersions) {}
