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
 * Reads the platform's list of VMs and raises {@link EndpointEvent.Listed} for endpoints whose VM is leaving. Only one
 * node of each availability zone reads the list, so that the number of calls to the platform does not grow with the
 * number of nodes. Another node that was notified of a listed endpoint keeps querying the reading node until the
 * endpoint is no longer listed as leaving. This system runs before {@link EndpointSystem}.
 */
public final class VirtualMachineListSystem implements DecisionSystem {

    /** The interval at which a node that does not read the list queries the state of listed endpoints. */
    static final Duration QUERY_INTERVAL = Duration.ofSeconds(5);

    /** The age from which the list is stale and no longer used for answers, in read intervals. */
    private static final int MAXIMUM_AGE_INTERVALS = 3;

    /** The rendezvous hashing key that selects the reading node of an availability zone. */
    private static final String READER_KEY = "virtual-machine-list";

    /** The availability zone of this node. */
    private final AvailabilityZone availabilityZone;

    /** The table of endpoints. */
    private final EndpointTable table;

    /** The membership of the site. */
    private final MembershipView membership;

    /** Allocates the tokens of calls to the platform. */
    private final PlatformTokens tokens;

    /** The interval at which the list is read, or empty before a configuration is active. */
    private Optional<Duration> readInterval = Optional.empty();

    /** Whether each address was listed as leaving when the list was last read. */
    private final Map<String, Boolean> listed = new HashMap<>();

    /** The token of the call in flight, or empty if there is none. */
    private Optional<Long> pendingToken = Optional.empty();

    /** The time at which the list was last read, or empty if it has not been read yet. */
    private Optional<MonotonicTime> readAt = Optional.empty();

    /** The time at which the next read of the list is due. */
    private MonotonicTime readDueAt = new MonotonicTime(Long.MIN_VALUE);

    /** The time at which the next query to the reading node is due. */
    private MonotonicTime queryDueAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new system.
     *
     * @param availabilityZone The availability zone of this node.
     * @param table The table of endpoints.
     * @param membership The membership of the site.
     * @param tokens Allocates the tokens of calls to the platform.
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
            if (pendingToken.equals(Optional.of(event.token()))) {
                pendingToken = Optional.empty();
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
        for (ConfigurationEvent.Activated event : tick.events(ConfigurationEvent.Activated.class)) {
            readInterval = Optional.of(event.configuration().membership().platformListInterval());
        }
        if (readInterval.isPresent() && !tick.now().isBefore(readDueAt)) {
            readDueAt = tick.now().plus(readInterval.get());
            read(tick);
        }
        if (!tick.now().isBefore(queryDueAt)) {
            queryDueAt = tick.now().plus(QUERY_INTERVAL);
            queryReader(tick);
        }
    }

    /**
     * Reads the list if this is the reading node and no call is in flight.
     *
     * @param tick The tick.
     */
    private void read(Tick tick) {
        if (pendingToken.isPresent() || !isReader()) {
            return;
        }
        long token = tokens.next();
        pendingToken = Optional.of(token);
        tick.emit(new PlatformEffect.ListVirtualMachines(token, PlatformPurpose.MEMBERSHIP));
    }

    /**
     * Applies the list.
     *
     * @param tick The tick.
     * @param virtualMachines The VMs that the platform lists.
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
     * Answers another node's query if the list is not stale.
     *
     * @param tick The tick.
     * @param event The event that received the message.
     * @param query The query.
     */
    private void answer(Tick tick, PeerEvent.Received event, EndpointMessage.ListedQuery query) {
        if (!isFresh(tick)) {
            return;
        }
        table.find(query.endpoint())
                .map(endpoint -> listed.get(endpoint.address()))
                .ifPresent(leaving -> tick.emit(new PeerEffect.Send(
                        event.sender().name(), new EndpointMessage.Listed(query.endpoint(), leaving))));
    }

    /**
     * Returns whether the list is recent enough to answer queries.
     *
     * @param tick The tick.
     * @return {@code true} if the list is not stale.
     */
    private boolean isFresh(Tick tick) {
        if (readAt.isEmpty() || readInterval.isEmpty()) {
            return false;
        }
        Duration maximumAge = readInterval.get().multipliedBy(MAXIMUM_AGE_INTERVALS);
        return tick.now().since(readAt.get()).compareTo(maximumAge) < 0;
    }

    /**
     * Queries the reading node for the endpoints that are recorded as listed at this node.
     *
     * @param tick The tick.
     */
    private void queryReader(Tick tick) {
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
     * Selects the node of this availability zone that reads the list.
     *
     * @return The node, or empty if the zone has no working node.
     */
    private Optional<Member> reader() {
        List<Member> candidates = membership.working().stream()
                .filter(member -> member.availabilityZone().equals(availabilityZone))
                .toList();
        return RendezvousRanking.rank(READER_KEY, candidates).stream().findFirst();
    }
}
