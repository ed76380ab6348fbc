package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.modelversion.NamedVersion;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.platform.ObjectApiDialect;
import java.util.Optional;
import java.util.function.Function;

/**
 * Everything that is written on the wire or kept on the platform by others.
 *
 * @param callers How callers speak.
 * @param endpoints How endpoints speak.
 * @param platform How the platform speaks.
 * @param cloud How the cloud speaks.
 * @param endpointEntries Reads an endpoint's entry in the registry.
 * @param routeConfigurations Reads a configuration of routes.
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
