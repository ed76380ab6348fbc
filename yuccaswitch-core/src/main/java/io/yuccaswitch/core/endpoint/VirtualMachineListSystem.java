package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformEvent.VirtualMachine;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the platform's list of VMs, on one node of each availability zone so that the platform's calls don't grow with
 * the nodes, and raises {@link EndpointEvent.Listed} for endpoints whose VM is leaving. A node that does not read the
 * list, but was told that an endpoint is listed, goes on asking the one that does until the list says otherwise. It
 * runs before {@link EndpointSystem}.
 */
public final class VirtualMachineListSystem implements DecisionSystem {

    /** The interval at which a node asks about endpoints that it was told are listed. */
    static final Duration QUERY_INTERVAL = Duration.ofSeconds(5);

    /** The age past which the list is too old to answer from, in intervals of reading. */
    private static final int LONGEST_AGE_INTERVALS = 3;

    /** The key by which the reading node of an availability zone is picked. */
    private static final String READER_KEY = "virtual-machine-list";

    /** The availability zone of this node. */
    private final AvailabilityZone availabilityZone;

    /** The table of endpoints. */
    private final EndpointTable table;

    /** The nodes. */
    private final MembershipView membership;

    /** Hands out the tokens of calls to the platform. */
    private final PlatformTokens tokens;

    /** The interval at which the list is read, or empty before a configuration is in force. */
    private Optional<Duration> readInterval = Optional.empty();

    /** Whether each address is listed as leaving, as the list said when it was last read. */
    private final Map<String, Boolean> listed = new HashMap<>();

    /** The token of the call under way, or empty if there is none. */
    private Optional<Long> call = Optional.empty();

    /** The time at which the list was last read, or empty if it never was. */
    private Optional<MonotonicTime> readAt = Optional.empty();

    /** The time at which the list is to be read next. */
    private MonotonicTime readDueAt = new MonotonicTime(Long.MIN_VALUE);

    /** The time at which the reading node is to be asked next. */
    private MonotonicTime queryDueAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new system.
     *
     * @param availabilityZone The availability zone of this node.
     * @param table The table of endpoints.
     * @param membership The nodes.
     * @param tokens Hands out the tokens of calls to the platform.
     */
    public VirtualMachineListSystem(
            AvailabilityZone availabilityZone, EndpointTable table, MembershipView membership, PlatformTokens tokens) {
        this.availabilityZone = availabilityZone;
        this.table = table;
        this.membership = membership;
        this.tokens = tokens;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            if (call.equals(Optional.of(event.token()))) {
                call = Optional.empty();
            }
            if (event instanceof PlatformEvent.VirtualMachinesListed list) {
                apply(tick, list.virtualMachines());
            }
        }
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof EndpointMessage.ListedQuery query) {
                answer(tick, event, query);
            }
        }
        for (ConfigurationEvent.InForce event : tick.events(ConfigurationEvent.InForce.class)) {
            readInterval = Optional.of(event.configuration().membership().platformListInterval());
        }
        if (readInterval.isPresent() && !tick.now().isBefore(readDueAt)) {
            readDueAt = tick.now().plus(readInterval.get());
            read(tick);
        }
        if (!tick.now().isBefore(queryDueAt)) {
            queryDueAt = tick.now().plus(QUERY_INTERVAL);
            ask(tick);
        }
    }

    /**
     * Reads the list if that is this node's part.
     *
     * @param tick The tick.
     */
    private void read(Tick tick) {
        if (call.isPresent() || !isReader()) {
            return;
        }
        long token = tokens.next();
        call = Optional.of(token);
        tick.emit(new PlatformEffect.ListVirtualMachines(token, PlatformPurpose.MEMBERSHIP));
    }

    /**
     * Takes in the list.
     *
     * @param tick The tick.
     * @param virtualMachines The VMs as the platform lists them.
     */
    private void apply(Tick tick, List<VirtualMachine> virtualMachines) {
        readAt = Optional.of(tick.now());
        listed.clear();
        for (VirtualMachine virtualMachine : virtualMachines) {
            listed.merge(virtualMachine.address(), virtualMachine.leaving(), Boolean::logicalAnd);
        }
        listed.forEach((address, leaving) -> table.findAt(address)
                .map(Endpoint::name)
                .filter(name -> leaving || table.leaving(name).listing().isPresent())
                .ifPresent(name -> tick.raise(new EndpointEvent.Listed(name, leaving))));
    }

    /**
     * Answers another node's question from the list, if it was read of late.
     *
     * @param tick The tick.
     * @param event The message's arrival.
     * @param query The question.
     */
    private void answer(Tick tick, PeerEvent.Received event, EndpointMessage.ListedQuery query) {
        if (!fresh(tick)) {
            return;
        }
        table.find(query.endpoint())
                .map(endpoint -> listed.get(endpoint.address()))
                .ifPresent(leaving -> tick.emit(new PeerEffect.Send(
                        event.sender().name(), new EndpointMessage.Listed(query.endpoint(), leaving))));
    }

    /**
     * Returns whether the list was read of late.
     *
     * @param tick The tick.
     * @return {@code true} if it can be answered from.
     */
    private boolean fresh(Tick tick) {
        if (readAt.isEmpty() || readInterval.isEmpty()) {
            return false;
        }
        Duration longest = readInterval.get().multipliedBy(LONGEST_AGE_INTERVALS);
        return tick.now().since(readAt.get()).compareTo(longest) < 0;
    }

    /**
     * Asks the node that reads the list about the endpoints that this node was told are listed.
     *
     * @param tick The tick.
     */
    private void ask(Tick tick) {
        if (isReader()) {
            return;
        }
        Optional<Member> reader = reader();
        for (Endpoint endpoint : table.view()) {
            EndpointName name = endpoint.name();
            if (reader.isPresent() && table.leaving(name).listing().isPresent()) {
                tick.emit(new PeerEffect.Send(reader.get().identity().name(), new EndpointMessage.ListedQuery(name)));
            }
        }
    }

    /**
     * Returns whether this node reads the list.
     *
     * @return {@code true} if this is the reading node of its availability zone.
     */
    private boolean isReader() {
        return reader().map(Member::identity)
                .equals(Optional.of(membership.self().identity()));
    }

    /**
     * Picks the node of this availability zone that reads the list.
     *
     * @return The node, or empty if no node of the zone works.
     */
    private Optional<Member> reader() {
        List<Member> candidates = membership.working().stream()
                .filter(member -> member.availabilityZone().equals(availabilityZone))
                .toList();
        return RendezvousRanking.rank(READER_KEY, candidates).stream().findFirst();
    }
}
