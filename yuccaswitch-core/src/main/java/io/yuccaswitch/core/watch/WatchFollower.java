package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Asks a watching node for the changes of one kind, with one request at a time. */
final class WatchFollower {

    /** How long the request that notices a lost node is held. Half of it passes before the node is missed. */
    private static final Duration SHORT_HOLD = Duration.ofMillis(500);

    /**
     * How long a request is held while another kind hears from the same node. At five seconds a request costs a tenth
     * of the messages of a short one, and changes are told at once all the same.
     */
    private static final Duration LONG_HOLD = Duration.ofSeconds(5);

    /** How long an answer may take beyond the time for which the request is held. */
    static final Duration DELIVERY_TIME = Duration.ofMillis(300);

    /** After which silence a node is missed. */
    static final Duration TIMEOUT = SHORT_HOLD.plus(DELIVERY_TIME);

    /** How long a node that did not answer is left alone, by when the membership knows whether it is gone. */
    private static final Duration SILENT_PAUSE = Duration.ofSeconds(3);

    /** How long a node that the platform does not answer is left alone. Asking again costs only a small message. */
    private static final Duration CONTACTLESS_PAUSE = Duration.ofMillis(300);

    /** The kind. */
    private final String kind;

    /** What is known of the nodes that watch. */
    private final WatcherContacts contacts;

    /** What these tell of all kinds. */
    private final KindAges ages;

    /** Whether this kind notices lost nodes for the others. */
    private final boolean probes;

    /** The request that waits for its answer, if any. */
    private Optional<Request> request = Optional.empty();

    /** The number of the latest request. */
    private long number;

    /**
     * Creates a follower that has asked nothing.
     *
     * @param kind The kind.
     * @param contacts What is known of the nodes that watch.
     * @param ages What these tell of all kinds.
     * @param probes Whether this kind notices lost nodes for the others.
     */
    WatchFollower(String kind, WatcherContacts contacts, KindAges ages, boolean probes) {
        this.kind = kind;
        this.contacts = contacts;
        this.ages = ages;
        this.probes = probes;
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
        return watchers.stream()
                .filter(watcher -> !contacts.isPaused(watcher, now))
                .findFirst();
    }

    /**
     * Asks a node.
     *
     * @param tick The tick.
     * @param watcher The node.
     * @param version The version up to which changes are known.
     * @param atOnce Whether the node shall answer at once, whether or not it knows more.
     */
    void ask(Tick tick, NodeName watcher, long version, boolean atOnce) {
        number++;
        boolean waits = !probes && !atOnce;
        Optional<NodeIdentity> heard = waits ? contacts.inTouch(watcher, tick.now()) : Optional.empty();
        Duration hold = heard.isPresent() ? LONG_HOLD : SHORT_HOLD;
        request = Optional.of(new Request(watcher, number, version, tick.now(), hold, heard));
        long holdMillis = atOnce ? 0 : hold.toMillis();
        tick.emit(new PeerEffect.Send(watcher, new WatchMessage.Follow(kind, number, version, holdMillis, probes)));
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
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof WatchMessage.Changes changes && answersRequest(changes)) {
                contacts.answered(received.sender(), tick.now());
                return Optional.of(answered(tick, changes));
            }
        }
        Request waiting = request.get();
        if (isUndeliverable(tick) || waiting.isOverdue(tick.now())) {
            return Optional.of(silent(tick));
        }
        if (isLost(waiting, tick.now())) {
            request = Optional.empty();
        }
        return Optional.empty();
    }

    /**
     * Returns whether a message answers the request.
     *
     * @param changes The message.
     * @return {@code true} if it does.
     */
    private boolean answersRequest(WatchMessage.Changes changes) {
        Request waiting = request.orElseThrow();
        return changes.kind().equals(kind)
                && changes.number() == waiting.number()
                && changes.behind() == waiting.version();
    }

    /**
     * Returns whether a request that is held for long may be lost, because the life of the node that holds it was not
     * heard since, or another kind found that the node is of no use.
     *
     * @param waiting The request.
     * @param now The present.
     * @return {@code true} if it has to be sent anew.
     */
    private boolean isLost(Request waiting, MonotonicTime now) {
        return waiting.heard().isPresent()
                && (contacts.isPaused(waiting.watcher(), now)
                        || !contacts.inTouch(waiting.watcher(), now).equals(waiting.heard()));
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
            contacts.pause(answered.watcher(), tick.now().plus(CONTACTLESS_PAUSE));
        }
        MonotonicTime writtenAt = answered.askedAt().plus(Duration.ofMillis(changes.heldMillis()));
        ages.take(changes.kinds(), writtenAt, tick.now());
        return new Outcome(answered.version(), Optional.of(changes), confirmedBy(writtenAt, changes));
    }

    /**
     * Returns when the platform surely held nothing beyond what an answer tells. The answer was written no earlier than
     * the request was sent and then held, however long either was on its way.
     *
     * @param writtenAt The earliest time at which the answer can have been written.
     * @param changes The answer.
     * @return The time, or empty if the other node knows nothing.
     */
    private static Optional<MonotonicTime> confirmedBy(MonotonicTime writtenAt, WatchMessage.Changes changes) {
        if (changes.confirmedAgeMillis().isEmpty()) {
            return Optional.empty();
        }
        Duration age = Duration.ofMillis(changes.confirmedAgeMillis().getAsLong());
        return Optional.of(writtenAt.plus(age.negated()));
    }

    /**
     * Returns how much older than at a watching node what is known gets here until that is asked again.
     *
     * @return The time.
     */
    Duration relayTime() {
        return probes ? DELIVERY_TIME.dividedBy(2) : SHORT_HOLD.plus(DELIVERY_TIME.dividedBy(2));
    }

    /** Gives up waiting for an answer, which was surely lost. */
    void forget() {
        request = Optional.empty();
    }

    /**
     * Takes note that the machine was suspended, such that its clock stood still meanwhile.
     *
     * @param gap How long it was.
     */
    void suspended(Duration gap) {
        request = request.map(waiting -> waiting.askedEarlier(gap));
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
        contacts.pause(lost.watcher(), tick.now().plus(SILENT_PAUSE));
        tick.decide(Decision.of(
                "watch",
                kind,
                "not from " + lost.watcher(),
                "no answer in " + tick.now().since(lost.askedAt()).toMillis() + " ms, version " + lost.version()));
        return new Outcome(lost.version(), Optional.empty(), Optional.empty());
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
     * @param hold How long the node may hold it.
     * @param heard The life of the node that another kind hears from meanwhile, or empty if this one notices its loss.
     */
    private record Request(
            NodeName watcher,
            long number,
            long version,
            MonotonicTime askedAt,
            Duration hold,
            Optional<NodeIdentity> heard) {

        /**
         * Returns whether the answer should be there.
         *
         * @param now The present.
         * @return {@code true} if it should.
         */
        boolean isOverdue(MonotonicTime now) {
            return now.since(askedAt).compareTo(hold.plus(DELIVERY_TIME)) > 0;
        }

        /**
         * Returns this request as sent earlier.
         *
         * @param by By how much.
         * @return The request.
         */
        Request askedEarlier(Duration by) {
            return new Request(watcher, number, version, askedAt.plus(by.negated()), hold, heard);
        }
    }

    /**
     * What became of a request.
     *
     * @param version The version that the request named.
     * @param changes The answer, or empty if there is none.
     * @param confirmedAt When the platform surely held nothing beyond what the answer tells, or empty if that is
     *     unknown.
     */
    record Outcome(long version, Optional<WatchMessage.Changes> changes, Optional<MonotonicTime> confirmedAt) {

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
