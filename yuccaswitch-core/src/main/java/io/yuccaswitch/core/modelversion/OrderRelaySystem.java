package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformCalls;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * Calls the platform for the node that gives orders while that is cut off from it. The platform decides on the renewal
 * by the lease's version, whoever sends it, so there is one holder as before.
 */
final class OrderRelaySystem implements DecisionSystem {

    /** The calls to the platform that wait for their answers. */
    private final PlatformCalls calls;

    /** Reads a version. */
    private final Function<StoredObject, Optional<NamedVersion>> decoder;

    /**
     * Creates a system without requests.
     *
     * @param tokens Hands out the tokens of calls.
     * @param decoder Reads a version, or returns empty where it can't be read.
     */
    OrderRelaySystem(PlatformTokens tokens, Function<StoredObject, Optional<NamedVersion>> decoder) {
        calls = new PlatformCalls(tokens);
        this.decoder = decoder;
    }

    @Override
    public void run(Tick tick) {
        calls.answer(tick);
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            NodeName sender = received.sender().name();
            if (received.message() instanceof OrderMessage.RenewLease renew) {
                renew(tick, sender, renew);
            } else if (received.message() instanceof OrderMessage.ReadVersions) {
                read(tick, sender);
            }
        }
    }

    /**
     * Renews the lease of another node.
     *
     * @param tick The tick.
     * @param sender The node.
     * @param renew What it asks for.
     */
    private void renew(Tick tick, NodeName sender, OrderMessage.RenewLease renew) {
        calls.call(
                tick,
                token -> new PlatformEffect.Write(
                        token,
                        PlatformPurpose.LEASE,
                        OrderLease.KEY,
                        OptionalLong.of(renew.expectedVersion()),
                        renew.value()),
                (later, event) -> {
                    answer(renew, event).ifPresent(answer -> later.emit(new PeerEffect.Send(sender, answer)));
                    later.decide(Decision.of(
                            "order-relay",
                            sender.value(),
                            event.getClass().getSimpleName(),
                            "renewal of the lease at version " + renew.expectedVersion()));
                });
    }

    /**
     * Builds the answer to a renewal.
     *
     * @param renew What was asked for.
     * @param event The platform's answer.
     * @return The answer, or empty if the platform said nothing of the lease.
     */
    private static Optional<OrderMessage.LeaseAnswered> answer(OrderMessage.RenewLease renew, PlatformEvent event) {
        if (event instanceof PlatformEvent.Accepted accepted) {
            return Optional.of(new OrderMessage.LeaseAnswered(renew.ticket(), true, accepted.version(), renew.value()));
        }
        if (event instanceof PlatformEvent.Conflict conflict) {
            return conflict.current()
                    .map(object ->
                            new OrderMessage.LeaseAnswered(renew.ticket(), false, object.version(), object.value()));
        }
        return Optional.empty();
    }

    /**
     * Reads the versions for another node.
     *
     * @param tick The tick.
     * @param sender The node.
     */
    private void read(Tick tick, NodeName sender) {
        calls.call(
                tick,
                token -> new PlatformEffect.ListKind(token, PlatformPurpose.WEIGHT, VersionSystems.KIND),
                (later, event) -> {
                    if (event instanceof PlatformEvent.ObjectsListed listed) {
                        List<NamedVersion> versions = listed.objects().stream()
                                .filter(object -> !object.deleted())
                                .flatMap(object -> decoder.apply(object).stream())
                                .toList();
                        later.emit(new PeerEffect.Send(sender, new OrderMessage.VersionsRead(versions)));
                    }
                });
    }
}
