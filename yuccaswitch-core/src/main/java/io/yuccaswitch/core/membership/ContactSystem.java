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
 * Finds the first partners of a starting node, and nodes that were lost from sight. Addresses come from the local
 * settings and from the platform; they are only places to knock at, and say nothing about who lives. A node goes on to
 * contact dead members and unclaimed addresses now and then, such that two sides of a healed cut find each other.
 */
final class ContactSystem implements DecisionSystem {

    /** The number of addresses that a node contacts at a time as long as it knows nobody. */
    private static final int CONTACTS = 3;

    /** The state of the membership. */
    private final MembershipState state;

    /** Composes what travels. */
    private final ExchangeContent content;

    /** The peer addresses from the local settings. */
    private final List<String> seeds;

    /** The peer addresses from the platform. */
    private Set<String> platformAddresses = Set.of();

    /** Whether the platform has named addresses. */
    private boolean platformListed;

    /** The time of the first tick. */
    private Optional<MonotonicTime> startedAt = Optional.empty();

    /** Whether this node has learned the table of another one, or found that it is alone. */
    private boolean joined;

    /** The time of the next contact. */
    private MonotonicTime nextContact = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param content Composes what travels.
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
        boolean alone = state.table().othersLiving().isEmpty();
        Duration interval =
                alone ? state.options().contactInterval() : state.options().reconnectInterval();
        nextContact = tick.now().plus(interval);
        contact(tick, alone ? CONTACTS : 1);
    }

    /**
     * Replaces the addresses that the platform named.
     *
     * @param named The peer addresses as {@code host:port}.
     */
    void replacePlatformAddresses(Set<String> named) {
        platformAddresses = Set.copyOf(named);
        platformListed = true;
    }

    /**
     * Returns whether this node has learned the table of another one, or found that it is alone.
     *
     * @return {@code true} if this node has joined.
     */
    boolean hasJoined() {
        return joined;
    }

    /**
     * Finds out whether this node has joined: its table equals another one's, there is nobody to contact, or nobody has
     * answered for long.
     *
     * @param tick The tick.
     */
    private void join(Tick tick) {
        if (joined) {
            return;
        }
        boolean knowsOthers = !state.table().othersLiving().isEmpty();
        boolean equal = tick.events(PeerEvent.Received.class).stream()
                .map(PeerEvent.Received::message)
                .anyMatch(this::isEqualTable);
        boolean waited = tick.now()
                        .since(startedAt.orElseThrow())
                        .compareTo(state.options().aloneTime())
                >= 0;
        boolean alone = platformListed && !knowsOthers && unclaimed().isEmpty();
        if ((knowsOthers && equal) || alone || waited) {
            joined = true;
            tick.raise(new MembershipEvent.SelfJoined(!knowsOthers));
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
     * Contacts addresses that no living member claims, at random.
     *
     * @param tick The tick.
     * @param count The largest number of addresses to contact.
     */
    private void contact(Tick tick, int count) {
        List<String> candidates = unclaimed();
        for (int i = 0; i < count && !candidates.isEmpty(); i++) {
            String address = candidates.remove(tick.random().nextInt(candidates.size()));
            MembershipMessage.Exchange exchange =
                    new MembershipMessage.Exchange(0, content.digest(tick.now()), content.introduction(address));
            tick.emit(new PeerEffect.SendToAddress(address, exchange));
        }
    }

    /**
     * Returns the addresses of seeds and dead members that no living member claims.
     *
     * @return The addresses.
     */
    private List<String> unclaimed() {
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
