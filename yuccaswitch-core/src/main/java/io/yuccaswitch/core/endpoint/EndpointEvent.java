package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.EndpointName;
import java.util.Map;

/** Something that was learned about an endpoint. */
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
     * @param incarnation The endpoint's incarnation, which changes when its process starts again.
     * @param load The load that the endpoint reported.
     * @param loadedVersions The weight versions that the endpoint holds, by model or adapter.
     * @param leaving {@code true} if the endpoint said that it is leaving.
     */
    record Reported(
            EndpointName endpoint,
            String incarnation,
            LoadReport load,
            Map<String, Long> loadedVersions,
            boolean leaving)
            implements EndpointEvent {}

    /**
     * An endpoint could not be asked for its state.
     *
     * @param endpoint The endpoint's name.
     * @param reason The reason, for logs.
     */
    record Unreachable(EndpointName endpoint, String reason) implements EndpointEvent {}

    /**
     * A source other than the endpoint's own report said that the endpoint is leaving.
     *
     * @param endpoint The endpoint's name.
     * @param incarnation The incarnation that is leaving, or an empty text if the source does not know it.
     * @param source The source of the news, for logs.
     */
    record Leaving(EndpointName endpoint, String incarnation, String source) implements EndpointEvent {}

    /**
     * The platform's list of VMs was read, and says whether the VM of an endpoint is leaving.
     *
     * @param endpoint The endpoint's name.
     * @param leaving {@code true} if the VM is listed as leaving.
     */
    record Listed(EndpointName endpoint, boolean leaving) implements EndpointEvent {}

    /**
     * An endpoint reported that it keeps a prefix of prompts in its cache, or no longer does. Such news comes late and
     * with gaps.
     *
     * @param endpoint The endpoint's name.
     * @param prefixHash The hash of the prefix.
     * @param cached {@code true} if the prefix is kept, {@code false} if it was evicted.
     */
    record PrefixCached(EndpointName endpoint, long prefixHash, boolean cached) implements EndpointEvent {}
}
