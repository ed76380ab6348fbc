package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/** What other systems may ask of the configuration. */
public interface ConfigurationView {

    /**
     * Returns the highest generation that this node holds, whether or not it could bring it into force.
     *
     * @return The generation, or zero if there is none.
     */
    long heldGeneration();

    /**
     * Returns the generation in force on this node.
     *
     * @return The generation, or zero if there is none.
     */
    long generation();

    /**
     * Returns the configuration in force on this node.
     *
     * @return The configuration, or empty if there is none.
     */
    Optional<FleetConfiguration> inForce();

    /**
     * Returns since when the generation has been in force on this node.
     *
     * @return The time, or empty if there is none in force.
     */
    Optional<MonotonicTime> inForceSince();

    /**
     * Returns whether this node has made sure that its generation is the newest one it can learn of.
     *
     * @return {@code true} if this node may serve.
     */
    boolean isReady();
}
