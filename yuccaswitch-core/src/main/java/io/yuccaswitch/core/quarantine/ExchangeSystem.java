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
 * Exchanges suspect requests with the other nodes, as callers repeat a request at any node. Changes are announced to
 * all nodes at once. A node that missed an announcement, because it was unreachable or not running yet, catches up by
 * comparing digests with one other node at a time. While no request is suspect, nothing is sent.
 */
final class ExchangeSystem implements DecisionSystem {

    /**
     * How long changes are batched after an announcement. The first change is announced at once, as copies of a request
     * may arrive at several nodes within a tenth of a second.
     */
    private static final Duration BATCHING_DELAY = Duration.ofMillis(50);

    /**
     * The time that each member adds to the batching delay. At 350 nodes, a node announces changes at most three times
     * a second, so a series of terminations causes some kilobytes a second of traffic per node.
     */
    private static final Duration BATCHING_DELAY_PER_MEMBER = Duration.ofMillis(1);

    /** The interval at which this node sends its digest to another node. */
    private static final Duration DIGEST_INTERVAL = Duration.ofSeconds(2);

    /** How long a node that has started sends digests although it has recorded no request. */
    private static final Duration JOINING_PERIOD = Duration.ofSeconds(10);

    /** The maximum number of requests in one message. */
    private static final int REQUESTS_PER_MESSAGE = 64;

    /** The state that the systems of the quarantine share. */
    private final QuarantineState state;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The earliest time of the next announcement. */
    private MonotonicTime announcementAt = new MonotonicTime(Long.MIN_VALUE);

    /** The time at which the next digest is sent. */
    private MonotonicTime digestAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * The end of the period in which this node sends digests although it has recorded no request, which starts with its
     * first tick.
     */
    private Optional<MonotonicTime> joiningUntil = Optional.empty();

    /**
     * Creates a system.
     *
     * @param state The state that the systems of the quarantine share.
     * @param membership The nodes of the site.
     */
    ExchangeSystem(QuarantineState state, MembershipView membership) {
        this.state = state;
        this.membership = membership;
    }

    @Override
    public void run(Tick tick) {
        if (joiningUntil.isEmpty()) {
            joiningUntil = Optional.of(tick.now().plus(JOINING_PERIOD));
        }
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof QuarantineMessage message) {
                receive(tick, received.sender().name(), message);
            }
        }
        announceChanges(tick);
        sendDigest(tick);
    }

    /**
     * Handles a message from another node.
     *
     * @param tick The tick.
     * @param sender The node that sent it.
     * @param message The message.
     */
    private void receive(Tick tick, NodeName sender, QuarantineMessage message) {
        if (message instanceof QuarantineMessage.Update update) {
            update.suspects().forEach(state::mergeRemote);
            update.ended().forEach(endpoint -> state.recordEnded(endpoint, tick.now()));
        } else if (message instanceof QuarantineMessage.DigestComparison comparison
                && comparison.digest() != digest()) {
            sendAll(tick, sender);
            if (comparison.requestsReply()) {
                tick.emit(new PeerEffect.Send(sender, new QuarantineMessage.DigestComparison(digest(), false)));
            }
        }
    }

    /**
     * Announces local changes to all other nodes, once the batching delay has elapsed.
     *
     * @param tick The tick.
     */
    private void announceChanges(Tick tick) {
        if (!state.hasUnannouncedChanges() || tick.now().isBefore(announcementAt)) {
            return;
        }
        int members = membership.working().size();
        announcementAt = tick.now().plus(BATCHING_DELAY.plus(BATCHING_DELAY_PER_MEMBER.multipliedBy(members)));
        List<Suspect> suspects = new ArrayList<>();
        state.unannounced().stream()
                .limit(REQUESTS_PER_MESSAGE)
                .forEach(fingerprint -> state.suspects().find(fingerprint).ifPresent(suspects::add));
        List<EndpointName> ended = List.copyOf(state.unannouncedEnds());
        for (Member member : others()) {
            send(tick, member.identity().name(), suspects, ended);
        }
        suspects.forEach(suspect -> {
            state.unannounced().remove(suspect.fingerprint());
            state.markAnnounced(suspect.fingerprint());
        });
        state.unannounced().retainAll(fingerprints());
        state.unannouncedEnds().clear();
    }

    /**
     * Sends a digest to one other node, chosen at random, at a fixed interval.
     *
     * @param tick The tick.
     */
    private void sendDigest(Tick tick) {
        boolean isJoining = tick.now().isBefore(joiningUntil.orElseThrow());
        if (tick.now().isBefore(digestAt) || (state.suspects().size() == 0 && !isJoining)) {
            return;
        }
        digestAt = tick.now().plus(DIGEST_INTERVAL);
        List<Member> others = others();
        if (!others.isEmpty()) {
            Member partner = others.get(tick.random().nextInt(others.size()));
            tick.emit(new PeerEffect.Send(
                    partner.identity().name(), new QuarantineMessage.DigestComparison(digest(), true)));
        }
    }

    /**
     * Sends all recorded requests to a node.
     *
     * @param tick The tick.
     * @param node The node.
     */
    private void sendAll(Tick tick, NodeName node) {
        List<Suspect> all = state.suspects().rows();
        for (int from = 0; from < all.size(); from += REQUESTS_PER_MESSAGE) {
            send(tick, node, all.subList(from, Math.min(all.size(), from + REQUESTS_PER_MESSAGE)), List.of());
        }
        state.suspects().view().forEach(suspect -> state.markAnnounced(suspect.fingerprint()));
    }

    /**
     * Sends the state of some requests to a node.
     *
     * @param tick The tick.
     * @param node The node to send to.
     * @param suspects The requests.
     * @param ended The endpoints that have terminated.
     */
    private static void send(Tick tick, NodeName node, List<Suspect> suspects, List<EndpointName> ended) {
        tick.emit(new PeerEffect.Send(node, new QuarantineMessage.Update(suspects, ended)));
    }

    /**
     * Returns the other nodes.
     *
     * @return The working members except this one.
     */
    private List<Member> others() {
        Member self = membership.self();
        return membership.working().stream()
                .filter(member -> !member.identity().equals(self.identity()))
                .toList();
    }

    /**
     * Returns the fingerprints of the recorded requests.
     *
     * @return The fingerprints.
     */
    private List<RequestFingerprint> fingerprints() {
        return state.suspects().view().stream().map(Suspect::fingerprint).toList();
    }

    /**
     * Computes a digest of all recorded requests that is independent of their order.
     *
     * @return The digest, which is zero if no request is recorded.
     */
    private long digest() {
        return state.suspects().view().stream()
                .mapToLong(suspect -> Hashing.farmHashFingerprint64()
                        .hashString(SuspectCodec.encode(suspect), StandardCharsets.UTF_8)
                        .asLong())
                .sum();
    }
}
