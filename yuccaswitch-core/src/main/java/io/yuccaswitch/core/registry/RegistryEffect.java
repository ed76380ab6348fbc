package io.yuccaswitch.core.registry;

import io.yuccaswitch.core.decision.Effect;
import java.util.List;

/** A notification of the registry to the shell. */
public sealed interface RegistryEffect extends Effect {

    /**
     * The endpoints that may get new work have changed.
     *
     * @param working The endpoints that are not leaving.
     */
    record Changed(List<RegisteredEndpoint> working) implements RegistryEffect {}

    /**
     * The freshness of this node's copy of the registry has changed other than by the passing of time.
     *
     * @param freshness The freshness.
     */
    record Confirmed(RegistryFreshness freshness) implements RegistryEffect {}
}
