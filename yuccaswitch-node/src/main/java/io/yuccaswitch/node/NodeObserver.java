package io.yuccaswitch.node;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.MembershipEvent;
import java.util.Optional;

/**
 * Runs after all other systems and makes the configuration in force, the node's identity and its readiness visible to
 * the threads of the shell.
 */
final class NodeObserver implements DecisionSystem {

    /** What to do once the node is ready to serve. */
    private final Runnable onReady;

    /** The identity of this node. */
    private volatile NodeIdentity identity;

    /** The configuration in force, or empty before the first one. */
    private volatile Optional<FleetConfiguration> configuration = Optional.empty();

    /** Whether the node is ready to serve. */
    private volatile boolean ready;

    /**
     * Creates a new observer.
     *
     * @param identity The identity that the node starts with.
     * @param onReady What to do once the node is ready to serve, which must not block.
     */
    NodeObserver(NodeIdentity identity, Runnable onReady) {
        this.identity = identity;
        this.onReady = onReady;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (ConfigurationEvent.InForce event : tick.events(ConfigurationEvent.InForce.class)) {
            configuration = Optional.of(event.configuration());
        }
        for (MembershipEvent.IdentityRaised event : tick.events(MembershipEvent.IdentityRaised.class)) {
            identity = event.current();
        }
        if (!ready && !tick.events(ConfigurationEvent.ReadyToServe.class).isEmpty()) {
            ready = true;
            onReady.run();
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
     * Returns the configuration in force.
     *
     * @return The configuration in force, or empty before the first one.
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
