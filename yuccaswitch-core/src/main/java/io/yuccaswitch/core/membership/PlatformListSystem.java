package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.platform.CallBackoff;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformEvent.VirtualMachine;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Uses information from the platform as a secondary source. The members' objects contain addresses to contact. They are
 * listed once after the start, and again only while the table contains no other running node. The list of VMs,
 * whichever system requests it, shows which nodes should leave. These are notified and decide themselves. Neither
 * source ever changes the recorded state of a member.
 */
final class PlatformListSystem implements DecisionSystem {

    /** The initial upper bound of the delay after a failed call. */
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofSeconds(1);

    /** The maximum upper bound of the delay after a failed call. */
    private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(30);

    /** The state of the membership. */
    private final MembershipState state;

    /** Receives the addresses to contact. */
    private final ContactSystem contacts;

    /** Allocates the tokens of calls. */
    private final PlatformTokens tokens;

    /** The backoff of calls. */
    private final CallBackoff backoff = new CallBackoff(INITIAL_RETRY_DELAY, MAXIMUM_RETRY_DELAY);

    /** The token of the pending call, or empty if there is none. */
    private OptionalLong pendingCall = OptionalLong.empty();

    /** Whether the objects have been listed since the start. */
    private boolean listed;

    /** The nodes that were notified that their VM is listed as leaving. */
    private final Set<NodeIdentity> notified = new HashSet<>();

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param contacts Receives the addresses to contact.
     * @param tokens Allocates the tokens of calls.
     */
    PlatformListSystem(MembershipState state, ContactSystem contacts, PlatformTokens tokens) {
        this.state = state;
        this.contacts = contacts;
        this.tokens = tokens;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            if (pendingCall.isPresent() && pendingCall.getAsLong() == event.token()) {
                pendingCall = OptionalLong.empty();
                receive(tick, event);
            }
            if (event instanceof PlatformEvent.VirtualMachinesListed list) {
                notifyLeaving(tick, list.virtualMachines());
            }
        }
        boolean needed = !listed || state.table().othersNotDead().isEmpty();
        if (needed && pendingCall.isEmpty() && backoff.allows(tick.now())) {
            pendingCall = OptionalLong.of(tokens.next());
            tick.emit(new PlatformEffect.ListKind(
                    pendingCall.getAsLong(), PlatformPurpose.MEMBERSHIP, MemberObject.KIND));
        }
    }

    /**
     * Handles the answer to the pending call.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void receive(Tick tick, PlatformEvent event) {
        if (event instanceof PlatformEvent.ObjectsListed list) {
            listed = true;
            backoff.succeeded(tick.now(), state.settings().platformListInterval());
            contacts.replacePlatformAddresses(addresses(list.objects()));
        } else {
            backoff.failed(tick);
        }
    }

    /**
     * Reads the addresses of other nodes from their objects.
     *
     * @param objects The objects.
     * @return The peer addresses.
     */
    private Set<String> addresses(List<StoredObject> objects) {
        return objects.stream()
                .filter(object -> !object.deleted())
                .map(object -> MemberObject.decode(object.key().name(), object.value()))
                .<Member>mapMulti(Optional::ifPresent)
                .map(Member::peerAddress)
                .collect(Collectors.toSet());
    }

    /**
     * Notifies nodes whose VMs are listed as leaving, once each.
     *
     * @param tick The tick.
     * @param virtualMachines The VMs.
     */
    private void notifyLeaving(Tick tick, List<VirtualMachine> virtualMachines) {
        Set<String> leaving = virtualMachines.stream()
                .filter(VirtualMachine::leaving)
                .map(VirtualMachine::address)
                .collect(Collectors.toSet());
        notified.removeIf(identity -> !state.table().contains(identity.name()));
        for (Member member : state.table().working()) {
            if (isListed(member, leaving) && notified.add(member.identity())) {
                tick.emit(new PeerEffect.Send(member.identity().name(), new MembershipMessage.LeavingNotification()));
            }
        }
    }

    /**
     * Returns whether any of a member's addresses is in a set.
     *
     * @param member The member.
     * @param addresses The addresses.
     * @return {@code true} if one of them is the member's.
     */
    private static boolean isListed(Member member, Set<String> addresses) {
        return addresses.contains(member.peerAddress())
                || addresses.contains(member.entryAddress())
                || addresses.contains(member.operatorAddress());
    }
}
