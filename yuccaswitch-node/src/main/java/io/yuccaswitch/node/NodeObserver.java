package io.yuccaswitch.node;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.MembershipEvent;
import java.util.Optional;
import java.util.function.IntConsumer;

/**
 * Runs after all other systems and publishes the active configuration, the node's identity and its readiness to the
 * threads of the shell.
 */
final class NodeObserver {

    /** Runs once when the node becomes ready to serve. */
    private final Runnable onReady;

    /** Receives the number of nodes that accept work whenever it changes. */
    private final IntConsumer onWorkingNodes;

    /** The number of nodes that accepted work at the previous tick. */
    private int workingNodes;

    /** The identity of this node. */
    private volatile NodeIdentity identity;

    /** The active configuration, or empty before the first one. */
    private volatile Optional<FleetConfiguration> configuration = Optional.empty();

    /** Whether the node is ready to serve. */
    private volatile boolean ready;

    /**
     * Creates a new observer.
     *
     * @param identity The identity that the node starts with.
     * @param onReady Runs once when the node becomes ready to serve, and must not block.
     * @param onWorkingNodes Receives the number of nodes that accept work whenever it changes, and must not block.
     */
    NodeObserver(NodeIdentity identity, Runnable onReady, IntConsumer onWorkingNodes) {
        this.identity = identity;
        this.onReady = onReady;
        this.onWorkingNodes = onWorkingNodes;
    }

    /**
     * Observes a tick after all systems have run.
     *
     * @param tick The tick.
     * @param currentWorkingNodes The number of nodes that accept work, including this one.
     */
    void run(Tick tick, int currentWorkingNodes) {
        for (ConfigurationEvent.Activated event : tick.events(ConfigurationEvent.Activated.class)) {
            configuration = Optional.of(event.configuration());
        }
        for (MembershipEvent.IdentityRaised event : tick.events(MembershipEvent.IdentityRaised.class)) {
            identity = event.current();
        }
        if (!ready && !tick.events(ConfigurationEvent.ReadyToServe.class).isEmpty()) {
            ready = true;
            onReady.run();
        }
        if (currentWorkingNodes != workingNodes) {
            workingNodes = currentWorkingNodes;
            onWorkingNodes.accept(currentWorkingNodes);
        }
    }

    /**
     * Returns the identity of this node.
     *
     * @return The identity of this node.
     */
    NodeIdentity identity() {
        return identity;
    }

    /**
     * Returns the active configuration.
     *
     * @return The active configuration, or empty before the first one.
     */
    Optional<FleetConfiguration> configuration() {
        return configuration;
    }

    /**
     * Returns whether the node is ready to serve.
     *
     * @return {@code true} if the node is ready to serve.
     */
    boolean isReady() {
        return ready;
    }
}
