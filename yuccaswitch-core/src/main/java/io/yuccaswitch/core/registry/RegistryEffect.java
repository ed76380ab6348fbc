package io.yuccaswitch.core.registry;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.time.MonotonicTime;
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
     * What is known of the endpoints was surely complete at a later time than was known before.
     *
     * @param at The time.
     */
    record Confirmed(MonotonicTime at) implements RegistryEffect {}
}
