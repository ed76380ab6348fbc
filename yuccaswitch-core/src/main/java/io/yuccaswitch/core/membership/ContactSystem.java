package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Finds the first partners of a starting node, and nodes that became unreachable. Addresses come from the local
 * settings and from the platform. They are only contact points and do not indicate which nodes are running. A node
 * keeps contacting dead members and unclaimed addresses periodically, so that both sides of a network partition find
 * each other after it heals.
 */
final class ContactSystem implements DecisionSystem {

    /**
     * The maximum number of addresses that a node contacts at a time while its table contains no other running node.
     */
    private static final int MAXIMUM_CONTACTS_WHILE_ALONE = 3;

    /** The state of the membership. */
    private final MembershipState state;

    /** Composes the contents of messages. */
    private final ExchangeContent content;

    /** The peer addresses from the local settings. */
    private final List<String> seeds;

    /** The peer addresses from the platform. */
    private Set<String> platformAddresses = Set.of();

    /** Whether the platform has supplied its list of addresses. */
    private boolean platformListed;

    /** The time of the first tick. */
    private Optional<MonotonicTime> startedAt = Optional.empty();

    /** Whether this node has received the table of another one, or has determined that it is alone. */
    private boolean joined;

    /** The time of the next contact. */
    private MonotonicTime nextContact = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param content Composes the contents of messages.
     * @param seeds The peer addresses from the local settings.
     */
    ContactSystem(MembershipState state, ExchangeContent content, List<String> seeds) {
        this.state = state;
        this.content = content;
        this.seeds = List.copyOf(seeds);
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        startedAt = Optional.of(startedAt.orElseGet(tick::now));
        join(tick);
        boolean departed = state.table().selfRow().is(MemberCondition.DEAD);
        if (departed || tick.now().isBefore(nextContact)) {
            return;
        }
        boolean alone = state.table().othersNotDead().isEmpty();
        Duration interval =
                alone ? state.options().contactInterval() : state.options().reconnectInterval();
        nextContact = tick.now().plus(interval);
        contact(tick, alone ? MAXIMUM_CONTACTS_WHILE_ALONE : 1);
    }

    /**
     * Replaces the addresses that the platform listed.
     *
     * @param addresses The peer addresses as {@code host:port}.
     */
    void replacePlatformAddresses(Set<String> addresses) {
        platformAddresses = Set.copyOf(addresses);
        platformListed = true;
    }

    /**
     * Returns whether this node has received the table of another one, or has determined that it is alone.
     *
     * @return {@code true} if this node has joined.
     */
    boolean hasJoined() {
        return joined;
    }

    /**
     * Checks whether this node has joined: its table equals that of another node, there is no address to contact, or
     * the join time-out has passed.
     *
     * @param tick The tick.
     */
    private void join(Tick tick) {
        if (joined) {
            return;
        }
        boolean hasOthers = !state.table().othersNotDead().isEmpty();
        boolean equal = tick.events(PeerEvent.Received.class).stream()
                .map(PeerEvent.Received::message)
                .anyMatch(this::isEqualTable);
        boolean timedOut = tick.now()
                        .since(startedAt.orElseThrow())
                        .compareTo(state.options().joinTimeout())
                >= 0;
        boolean alone = platformListed && !hasOthers && unclaimedAddresses().isEmpty();
        if ((hasOthers && equal) || alone || timedOut) {
            joined = true;
            tick.raise(new MembershipEvent.SelfJoined(!hasOthers));
        }
    }

    /**
     * Returns whether a message comes from a node whose table equals this one's.
     *
     * @param message The message.
     * @return {@code true} if both tables are equal.
     */
    private boolean isEqualTable(Object message) {
        if (message instanceof MembershipMessage.ExchangeAnswer answer) {
            return answer.digest().tableHash() == state.table().hash();
        }
        return message instanceof MembershipMessage.Exchange exchange
                && exchange.digest().tableHash() == state.table().hash();
    }

    /**
     * Contacts randomly selected addresses that no running member claims.
     *
     * @param tick The tick.
     * @param count The maximum number of addresses to contact.
     */
    private void contact(Tick tick, int count) {
        List<String> candidates = unclaimedAddresses();
        for (int i = 0; i < count && !candidates.isEmpty(); i++) {
            String address = candidates.remove(tick.random().nextInt(candidates.size()));
            MembershipMessage.Exchange exchange =
                    new MembershipMessage.Exchange(0, content.digest(tick.now()), content.introduction(address));
            tick.emit(new PeerEffect.SendToAddress(address, exchange));
        }
    }

    /**
     * Returns the addresses of seeds and dead members that no running member claims.
     *
     * @return The addresses.
     */
    private List<String> unclaimedAddresses() {
        Set<String> claimed = state.table().rows().stream()
                .filter(row -> !row.is(MemberCondition.DEAD))
                .map(row -> row.member().peerAddress())
                .collect(Collectors.toSet());
        Set<String> candidates = new TreeSet<>(platformAddresses);
        candidates.addAll(seeds);
        state.table().dead().forEach(row -> candidates.add(row.member().peerAddress()));
        candidates.removeAll(claimed);
        return new ArrayList<>(candidates);
    }
}
