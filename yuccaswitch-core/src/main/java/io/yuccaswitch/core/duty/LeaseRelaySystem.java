package io.yuccaswitch.core.duty;

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
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Renews the lease on behalf of its holder while the holder is partitioned from the platform. The platform accepts a
 * renewal by the version of the lease, whichever node sends it, so there is still only one holder.
 */
public final class LeaseRelaySystem implements DecisionSystem {

    /** The pending calls to the platform. */
    private final PlatformCalls calls;

    /**
     * Creates a system without pending requests.
     *
     * @param tokens Allocates the tokens of calls.
     */
    public LeaseRelaySystem(PlatformTokens tokens) {
        calls = new PlatformCalls(tokens);
    }

    @Override
    public void run(Tick tick) {
        calls.processAnswers(tick);
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof DutyMessage.RenewLease renew) {
                renew(tick, received.sender().name(), renew);
            }
        }
    }

    /**
     * Renews the lease of another node.
     *
     * @param tick The tick.
     * @param sender The node that holds the lease.
     * @param renew The request.
     */
    private void renew(Tick tick, NodeName sender, DutyMessage.RenewLease renew) {
        calls.call(
                tick,
                token -> new PlatformEffect.Write(
                        token,
                        PlatformPurpose.LEASE,
                        DutyLease.KEY,
                        OptionalLong.of(renew.expectedVersion()),
                        renew.value()),
                (later, event) -> {
                    answer(renew, event).ifPresent(answer -> later.emit(new PeerEffect.Send(sender, answer)));
                    later.decide(Decision.of(
                            "duty-lease-relay",
                            sender.value(),
                            event.getClass().getSimpleName(),
                            "renewal of the lease at version " + renew.expectedVersion()));
                });
    }

    /**
     * Builds the answer to a renewal.
     *
     * @param renew The request.
     * @param event The platform's answer.
     * @return The answer, or empty if the platform's answer doesn't contain the lease.
     */
    private static Optional<DutyMessage.RenewalAnswered> answer(DutyMessage.RenewLease renew, PlatformEvent event) {
        if (event instanceof PlatformEvent.Accepted accepted) {
            return Optional.of(
                    new DutyMessage.RenewalAnswered(renew.ticket(), true, accepted.version(), renew.value()));
        }
        if (event instanceof PlatformEvent.Conflict conflict) {
            return conflict.current()
                    .map(object ->
                            new DutyMessage.RenewalAnswered(renew.ticket(), false, object.version(), object.value()));
        }
        return Optional.empty();
    }
}
