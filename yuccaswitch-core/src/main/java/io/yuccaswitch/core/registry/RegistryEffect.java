package io.yuccaswitch.core.registry;

import io.yuccaswitch.core.decision.Effect;
import java.util.List;

/** What the registry tells the shell. */
public sealed interface RegistryEffect extends Effect {

    /**
     * The endpoints that may get new work have changed.
     *
     * @param working The endpoints that are not leaving.
     */
    record Changed(List<RegisteredEndpoint> working) implements RegistryEffect {}

    /**
     * How old what is known of the endpoints is has changed otherwise than by the passing of time.
     *
     * @param freshness How old it is.
     */
    record Confirmed(RegistryFreshness freshness) implements RegistryEffect {}
}
