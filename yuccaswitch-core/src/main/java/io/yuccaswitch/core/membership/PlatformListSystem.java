package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.platform.CallBackOff;
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
 * Takes hints from the platform, as a second source. The members' objects name addresses to contact; they are listed
 * once after the start, and again only while this node knows nobody. The list of VMs, whoever reads it, tells which
 * nodes should leave; those are told so, and decide for themselves. Neither ever changes what is believed of a member.
 */
final class PlatformListSystem implements DecisionSystem {

    /** The first bound of the delay after a failed call. */
    private static final Duration FIRST_DELAY = Duration.ofSeconds(1);

    /** The largest bound of the delay after a failed call. */
    private static final Duration LONGEST_DELAY = Duration.ofSeconds(30);

    /** The state of the membership. */
    private final MembershipState state;

    /** Takes the addresses to contact. */
    private final ContactSystem contacts;

    /** Hands out the tokens of calls. */
    private final PlatformTokens tokens;

    /** When to list again. */
    private final CallBackOff backOff = new CallBackOff(FIRST_DELAY, LONGEST_DELAY);

    /** The token of the call under way, or empty if there is none. */
    private OptionalLong call = OptionalLong.empty();

    /** Whether the objects were listed since the start. */
    private boolean listed;

    /** The nodes that were told that they should leave. */
    private final Set<NodeIdentity> advised = new HashSet<>();

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param contacts Takes the addresses to contact.
     * @param tokens Hands out the tokens of calls.
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
            if (call.isPresent() && call.getAsLong() == event.token()) {
                call = OptionalLong.empty();
                receive(tick, event);
            }
            if (event instanceof PlatformEvent.VirtualMachinesListed list) {
                advise(tick, list.virtualMachines());
            }
        }
        boolean needed = !listed || state.table().othersLiving().isEmpty();
        if (needed && call.isEmpty() && backOff.allows(tick.now())) {
            call = OptionalLong.of(tokens.next());
            tick.emit(new PlatformEffect.ListKind(call.getAsLong(), PlatformPurpose.MEMBERSHIP, MemberObject.KIND));
        }
    }

    /**
     * Handles the answer to the call under way.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void receive(Tick tick, PlatformEvent event) {
        if (event instanceof PlatformEvent.ObjectsListed list) {
            listed = true;
            backOff.succeeded(tick.now(), state.settings().platformListInterval());
            contacts.replacePlatformAddresses(addresses(list.objects()));
        } else {
            backOff.failed(tick);
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
     * Tells nodes whose VMs are listed as leaving, once each.
     *
     * @param tick The tick.
     * @param virtualMachines The VMs.
     */
    private void advise(Tick tick, List<VirtualMachine> virtualMachines) {
        Set<String> leaving = virtualMachines.stream()
                .filter(VirtualMachine::leaving)
                .map(VirtualMachine::address)
                .collect(Collectors.toSet());
        advised.removeIf(identity -> !state.table().contains(identity.name()));
        for (Member member : state.table().working()) {
            if (isListed(member, leaving) && advised.add(member.identity())) {
                tick.emit(new PeerEffect.Send(member.identity().name(), new MembershipMessage.LeavingAdvice()));
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
