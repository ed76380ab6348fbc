package io.yuccaswitch.core.quarantine;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Tells the other nodes of requests under which endpoints ended, as their callers repeat them at any node. News goes to
 * all at once. What a node missed while it was out of reach or not running yet, it gets by comparing a digest with one
 * other node at a time. While nothing is known of any request, nothing is sent.
 */
final class ExchangeSystem implements DecisionSystem {

    /**
     * How long news is gathered after other news was told. The first is told at once, as copies of a request may come
     * to several nodes within a tenth of a second.
     */
    private static final Duration GATHERING = Duration.ofMillis(50);

    /**
     * What each member adds to that time. At 350 nodes, one tells news three times a second at most, so a series of
     * ends costs each node some kilobytes a second.
     */
    private static final Duration GATHERING_PER_MEMBER = Duration.ofMillis(1);

    /** The interval at which a digest is compared with another node. */
    private static final Duration COMPARING_INTERVAL = Duration.ofSeconds(2);

    /** How long a node that has started compares although it knows nothing. */
    private static final Duration JOINING_TIME = Duration.ofSeconds(10);

    /** The largest number of requests in one message. */
    private static final int REQUESTS_PER_MESSAGE = 64;

    /** What the systems share. */
    private final QuarantineState state;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** When news may be told next. */
    private MonotonicTime tellAt = new MonotonicTime(Long.MIN_VALUE);

    /** When a digest is next compared. */
    private MonotonicTime compareAt = new MonotonicTime(Long.MIN_VALUE);

    /** Until when this node compares although it knows nothing, from its first tick on. */
    private Optional<MonotonicTime> joiningUntil = Optional.empty();

    /**
     * Creates a system.
     *
     * @param state What the systems share.
     * @param membership The nodes of the site.
     */
    ExchangeSystem(QuarantineState state, MembershipView membership) {
        this.state = state;
        this.membership = membership;
    }

    @Override
    public void run(Tick tick) {
        if (joiningUntil.isEmpty()) {
            joiningUntil = Optional.of(tick.now().plus(JOINING_TIME));
        }
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof QuarantineMessage message) {
                receive(tick, received.sender().name(), message);
            }
        }
        tellNews(tick);
        compare(tick);
    }

    /**
     * Takes a message.
     *
     * @param tick The tick.
     * @param sender The node that sent it.
     * @param message The message.
     */
    private void receive(Tick tick, NodeName sender, QuarantineMessage message) {
        if (message instanceof QuarantineMessage.Told told) {
            told.suspects().forEach(state::hear);
            told.ended().forEach(endpoint -> state.noteEnded(endpoint, tick.now()));
        } else if (message instanceof QuarantineMessage.Compare compare && compare.digest() != digest()) {
            tellAll(tick, sender);
            if (compare.asksBack()) {
                tick.emit(new PeerEffect.Send(sender, new QuarantineMessage.Compare(digest(), false)));
            }
        }
    }

    /**
     * Tells all nodes what this one found out, once it was gathered.
     *
     * @param tick The tick.
     */
    private void tellNews(Tick tick) {
        if (!state.hasNews() || tick.now().isBefore(tellAt)) {
            return;
        }
        int members = membership.working().size();
        tellAt = tick.now().plus(GATHERING.plus(GATHERING_PER_MEMBER.multipliedBy(members)));
        List<Suspect> suspects = new ArrayList<>();
        state.untold().stream()
                .limit(REQUESTS_PER_MESSAGE)
                .forEach(fingerprint -> state.suspects().find(fingerprint).ifPresent(suspects::add));
        List<EndpointName> ended = List.copyOf(state.untoldEnds());
        for (Member member : others()) {
            send(tick, member.identity().name(), suspects, ended);
        }
        suspects.forEach(suspect -> {
            state.untold().remove(suspect.fingerprint());
            state.noteTold(suspect.fingerprint());
        });
        state.untold().retainAll(fingerprints());
        state.untoldEnds().clear();
    }

    /**
     * Compares what is known with one other node, from time to time.
     *
     * @param tick The tick.
     */
    private void compare(Tick tick) {
        boolean joins = tick.now().isBefore(joiningUntil.orElseThrow());
        if (tick.now().isBefore(compareAt) || (state.suspects().size() == 0 && !joins)) {
            return;
        }
        compareAt = tick.now().plus(COMPARING_INTERVAL);
        List<Member> others = others();
        if (!others.isEmpty()) {
            Member partner = others.get(tick.random().nextInt(others.size()));
            tick.emit(new PeerEffect.Send(partner.identity().name(), new QuarantineMessage.Compare(digest(), true)));
        }
    }

    /**
     * Tells a node all that is known.
     *
     * @param tick The tick.
     * @param node The node.
     */
    private void tellAll(Tick tick, NodeName node) {
        List<Suspect> all = state.suspects().rows();
        for (int from = 0; from < all.size(); from += REQUESTS_PER_MESSAGE) {
            send(tick, node, all.subList(from, Math.min(all.size(), from + REQUESTS_PER_MESSAGE)), List.of());
        }
        state.suspects().view().forEach(suspect -> state.noteTold(suspect.fingerprint()));
    }

    /**
     * Sends what is known of some requests.
     *
     * @param tick The tick.
     * @param node The node to send to.
     * @param suspects The requests.
     * @param ended The endpoints that have ended.
     */
    private static void send(Tick tick, NodeName node, List<Suspect> suspects, List<EndpointName> ended) {
        tick.emit(new PeerEffect.Send(node, new QuarantineMessage.Told(suspects, ended)));
    }

    /**
     * Returns the other nodes.
     *
     * @return The working members but this one.
     */
    private List<Member> others() {
        Member self = membership.self();
        return membership.working().stream()
                .filter(member -> !member.identity().equals(self.identity()))
                .toList();
    }

    /**
     * Returns the requests that are known.
     *
     * @return Their fingerprints.
     */
    private List<RequestFingerprint> fingerprints() {
        return state.suspects().view().stream().map(Suspect::fingerprint).toList();
    }

    /**
     * Computes a digest of all that is known, whatever its order.
     *
     * @return The digest, which is zero if nothing is known.
     */
    private long digest() {
        return state.suspects().view().stream()
                .mapToLong(suspect -> Hashing.farmHashFingerprint64()
                        .hashString(SuspectCodec.encode(suspect), StandardCharsets.UTF_8)
                        .asLong())
                .sum();
    }
}
