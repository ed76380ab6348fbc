package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/** A read-only view of the configuration for other systems. */
public interface ConfigurationView {

    /**
     * Returns the highest generation that this node holds, whether or not it could be activated.
     *
     * @return The generation, or zero if there is none.
     */
    long heldGeneration();

    /**
     * Returns the active generation on this node.
     *
     * @return The generation, or zero if there is none.
     */
    long generation();

    /**
     * Returns the active configuration on this node.
     *
     * @return The configuration, or empty if there is none.
     */
    Optional<FleetConfiguration> active();

    /**
     * Returns the time since which the generation has been active on this node.
     *
     * @return The time, or empty if no generation is active.
     */
    Optional<MonotonicTime> activeSince();

    /**
     * Returns whether this node has confirmed that its generation is the newest one that it can obtain.
     *
     * @return {@code true} if this node may serve.
     */
    boolean isReady();
}
