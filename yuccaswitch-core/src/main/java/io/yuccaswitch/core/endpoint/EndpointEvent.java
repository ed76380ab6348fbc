package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.EndpointName;
import java.util.Map;

/** An observation of an endpoint. */
public sealed interface EndpointEvent extends Event {

    /**
     * Returns the endpoint that the event is about.
     *
     * @return The endpoint's name.
     */
    EndpointName endpoint();

    /**
     * An endpoint reported its state.
     *
     * @param endpoint The endpoint's name.
     * @param incarnation The endpoint's incarnation, which changes when its process restarts.
     * @param load The load that the endpoint reported.
     * @param loadedVersions The weight versions that are loaded at the endpoint, by model or adapter.
     * @param leaving {@code true} if the endpoint reported that it is leaving.
     */
    record Reported(
            EndpointName endpoint,
            String incarnation,
            LoadReport load,
            Map<String, Long> loadedVersions,
            boolean leaving)
            implements EndpointEvent {}

    /**
     * A probe of an endpoint failed.
     *
     * @param endpoint The endpoint's name.
     * @param reason The reason, for logs.
     */
    record Unreachable(EndpointName endpoint, String reason) implements EndpointEvent {}

    /**
     * A source other than the endpoint's own report announced that the endpoint is leaving.
     *
     * @param endpoint The endpoint's name.
     * @param incarnation The incarnation that is leaving, or an empty string if the source does not specify it.
     * @param source The source of the information, for logs.
     */
    record Leaving(EndpointName endpoint, String incarnation, String source) implements EndpointEvent {}

    /**
     * The platform's list of VMs was read, and states whether the VM of an endpoint is leaving.
     *
     * @param endpoint The endpoint's name.
     * @param leaving {@code true} if the VM is listed as leaving.
     */
    record Listed(EndpointName endpoint, boolean leaving) implements EndpointEvent {}

    /**
     * An endpoint reported that a prompt prefix was added to its cache or evicted from it. These events arrive late and
     * may be lost.
     *
     * @param endpoint The endpoint's name.
     * @param prefixHash The hash of the prefix.
     * @param cached {@code true} if the prefix is cached, {@code false} if it was evicted.
     */
    record PrefixCached(EndpointName endpoint, long prefixHash, boolean cached) implements EndpointEvent {}
}
