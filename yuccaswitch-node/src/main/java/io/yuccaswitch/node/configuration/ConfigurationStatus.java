package io.yuccaswitch.node.configuration;

import io.yuccaswitch.core.configuration.ConfigurationView;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.operator.StatusSection;
import java.time.Duration;
import java.util.Optional;

/** The part of the status document that shows the active generation and how long it has been active. */
public final class ConfigurationStatus implements StatusSection {

    /** The configuration. */
    private final ConfigurationView configuration;

    /**
     * Creates a new section.
     *
     * @param configuration The configuration.
     */
    public ConfigurationStatus(ConfigurationView configuration) {
        this.configuration = configuration;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "configuration";
    }

    /** {@inheritDoc} */
    @Override
    public Object content() {
        Optional<Long> inForceForMillis =
                configuration.activeSince().map(DecisionLoop.now()::since).map(Duration::toMillis);
        return new Content(
                configuration.generation(), inForceForMillis, configuration.heldGeneration(), configuration.isReady());
    }

    /**
     * The content of the section.
     *
     * @param generation The active generation, or zero if there is none.
     * @param inForceForMillis The milliseconds since it became active, or empty if there is none.
     * @param heldGeneration The highest generation that the node holds, whether or not the node could decode it.
     * @param ready {@code true} if the node may serve.
     */
    private record Content(long generation, Optional<Long> inForceForMillis, long heldGeneration, boolean ready) {}
}
