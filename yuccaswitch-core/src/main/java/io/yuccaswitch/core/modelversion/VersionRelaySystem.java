package io.yuccaswitch.core.modelversion;

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
import java.util.function.Function;

/** Reads the versions on behalf of the node that gives orders, while that node is partitioned from the platform. */
final class VersionRelaySystem implements DecisionSystem {

    /** The pending calls to the platform. */
    private final PlatformCalls calls;

    /** Decodes a version. */
    private final Function<StoredObject, Optional<NamedVersion>> decoder;

    /**
     * Creates a system without pending requests.
     *
     * @param tokens Allocates the tokens of calls.
     * @param decoder Decodes a version, or returns empty if the object is malformed.
     */
    VersionRelaySystem(PlatformTokens tokens, Function<StoredObject, Optional<NamedVersion>> decoder) {
        calls = new PlatformCalls(tokens);
        this.decoder = decoder;
    }

    @Override
    public void run(Tick tick) {
        calls.processAnswers(tick);
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            NodeName sender = received.sender().name();
            if (received.message() instanceof OrderMessage.ReadVersions) {
                read(tick, sender);
            }
        }
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
