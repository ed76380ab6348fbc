package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Asks a watching node for the changes of one kind, with one request at a time. */
final class WatchFollower {

    /** How long an answer may take: the time for which the watching node holds a request, and some for the way. */
    private static final Duration TIMEOUT = WatchServer.HOLD_TIME.plus(Duration.ofMillis(300));

    /** How long a node that did not answer is left alone, by when the membership knows whether it is gone. */
    private static final Duration SILENT_PAUSE = Duration.ofSeconds(3);

    /** How long a node that the platform does not answer is left alone. Asking again costs only a small message. */
    private static final Duration CONTACTLESS_PAUSE = Duration.ofMillis(300);

    /** The kind. */
    private final String kind;

    /** Until when nodes are left alone. */
    private final Map<NodeName, MonotonicTime> pausedUntil = new HashMap<>();

    /** The request that waits for its answer, if any. */
    private Optional<Request> request = Optional.empty();

    /** The number of the latest request. */
    private long number;

    /**
     * Creates a follower that has asked nothing.
     *
     * @param kind The kind.
     */
    WatchFollower(String kind) {
        this.kind = kind;
    }

    /**
     * Returns whether a request waits for its answer.
     *
     * @return {@code true} if one does.
     */
    boolean isWaiting() {
        return request.isPresent();
    }

    /**
     * Chooses a watching node that is not left alone.
     *
     * @param watchers The watching nodes.
     * @param now The present.
     * @return The first such node, or empty if there is none.
     */
    Optional<NodeName> choose(List<NodeName> watchers, MonotonicTime now) {
        pausedUntil.values().removeIf(until -> !now.isBefore(until));
        return watchers.stream()
                .filter(watcher -> !pausedUntil.containsKey(watcher))
                .findFirst();
    }

    /**
     * Asks a node.
     *
     * @param tick The tick.
     * @param watcher The node.
     * @param version The version up to which changes are known.
     */
    void ask(Tick tick, NodeName watcher, long version) {
        number++;
        request = Optional.of(new Request(watcher, number, version, tick.now()));
        tick.emit(new PeerEffect.Send(watcher, new WatchMessage.Follow(kind, number, version)));
    }

    /**
     * Takes the answer to the request, or notices that there is none.
     *
     * @param tick The tick.
     * @return What became of the request, or empty as long as it waits.
     */
    Optional<Outcome> receive(Tick tick) {
        if (request.isEmpty()) {
            return Optional.empty();
        }
        Optional<WatchMessage.Changes> changes = tick.events(PeerEvent.Received.class).stream()
                .map(PeerEvent.Received::message)
                .filter(WatchMessage.Changes.class::isInstance)
                .map(WatchMessage.Changes.class::cast)
                .filter(found -> found.kind().equals(kind)
                        && found.number() == request.get().number()
                        && found.behind() == request.get().version())
                .findFirst();
        if (changes.isPresent()) {
            return Optional.of(answered(tick, changes.get()));
        }
        if (isUndeliverable(tick) || tick.now().since(request.get().askedAt()).compareTo(TIMEOUT) > 0) {
            return Optional.of(silent(tick));
        }
        return Optional.empty();
    }

    /**
     * Takes an answer.
     *
     * @param tick The tick.
     * @param changes The answer.
     * @return What became of the request.
     */
    private Outcome answered(Tick tick, WatchMessage.Changes changes) {
        Request answered = request.orElseThrow();
        request = Optional.empty();
        if (!changes.inContact()) {
            pausedUntil.put(answered.watcher(), tick.now().plus(CONTACTLESS_PAUSE));
        }
        return new Outcome(answered.version(), Optional.of(changes));
    }

    /**
     * Takes note that there is no answer.
     *
     * @param tick The tick.
     * @return What became of the request.
     */
    private Outcome silent(Tick tick) {
        Request lost = request.orElseThrow();
        request = Optional.empty();
        pausedUntil.put(lost.watcher(), tick.now().plus(SILENT_PAUSE));
        tick.decide(Decision.of(
                "watch",
                kind,
                "not from " + lost.watcher(),
                "no answer in " + tick.now().since(lost.askedAt()).toMillis() + " ms, version " + lost.version()));
        return new Outcome(lost.version(), Optional.empty());
    }

    /**
     * Returns whether the request could not be sent.
     *
     * @param tick The tick.
     * @return {@code true} if the network said so.
     */
    private boolean isUndeliverable(Tick tick) {
        return tick.events(PeerEvent.Undeliverable.class).stream()
                .map(PeerEvent.Undeliverable::message)
                .filter(WatchMessage.Follow.class::isInstance)
                .map(WatchMessage.Follow.class::cast)
                .anyMatch(follow -> follow.kind().equals(kind)
                        && follow.number() == request.orElseThrow().number());
    }

    /**
     * A request that waits for its answer.
     *
     * @param watcher The node that was asked.
     * @param number The number of the request.
     * @param version The version up to which changes were known.
     * @param askedAt When it was sent.
     */
    private record Request(NodeName watcher, long number, long version, MonotonicTime askedAt) {}

    /**
     * What became of a request.
     *
     * @param version The version that the request named.
     * @param changes The answer, or empty if there is none.
     */
    record Outcome(long version, Optional<WatchMessage.Changes> changes) {

        /**
         * Returns whether the node that was asked is in contact with the platform.
         *
         * @return {@code true} if its answer says so.
         */
        boolean inContact() {
            return changes.filter(WatchMessage.Changes::inContact).isPresent();
        }
    }
}
