package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.RequestNumbers;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Requests the changes of one kind from a watcher, with one request at a time. */
final class WatchFollower {

    /**
     * How long a watcher holds the request that detects a lost node. A lost node is detected half of this time later on
     * average, plus the delivery time-out.
     */
    private static final Duration SHORT_HOLD = Duration.ofMillis(500);

    /**
     * How long a request is held while another kind is in contact with the same node. At five seconds it takes a tenth
     * of the messages of a short one, and changes are still reported immediately.
     */
    private static final Duration LONG_HOLD = Duration.ofSeconds(5);

    /** How long an answer may take beyond the time for which the request is held. */
    static final Duration DELIVERY_TIMEOUT = Duration.ofMillis(300);

    /** After how long without an answer a node is considered lost. */
    static final Duration CONTACT_TIMEOUT = SHORT_HOLD.plus(DELIVERY_TIMEOUT);

    /** How long a node that did not answer is excluded, by when the membership has detected whether it is gone. */
    private static final Duration UNRESPONSIVE_EXCLUSION = Duration.ofSeconds(3);

    /** How long a node without contact to the platform is excluded. Requesting again takes only a small message. */
    private static final Duration NO_PLATFORM_EXCLUSION = Duration.ofMillis(300);

    /** The kind. */
    private final String kind;

    /** This node's contacts with the watchers. */
    private final WatcherContacts contacts;

    /** The ages that watchers report for all kinds. */
    private final KindAges ages;

    /** Whether this kind detects lost nodes for the others. */
    private final boolean probes;

    /** The pending request, if any. */
    private Optional<Request> request = Optional.empty();

    /** Allocates the numbers of requests. */
    private final RequestNumbers numbers;

    /**
     * Creates a follower without a request.
     *
     * @param kind The kind.
     * @param numbers Allocates the numbers of requests.
     * @param contacts This node's contacts with the watchers.
     * @param ages The ages that watchers report for all kinds.
     * @param probes Whether this kind detects lost nodes for the others.
     */
    WatchFollower(String kind, RequestNumbers numbers, WatcherContacts contacts, KindAges ages, boolean probes) {
        this.kind = kind;
        this.numbers = numbers;
        this.contacts = contacts;
        this.ages = ages;
        this.probes = probes;
    }

    /**
     * Returns whether a request is pending.
     *
     * @return {@code true} if one is.
     */
    boolean isWaiting() {
        return request.isPresent();
    }

    /**
     * Chooses a node that is not excluded.
     *
     * @param watchers The nodes, in order of preference.
     * @param now The current time.
     * @return The first such node, or empty if there is none.
     */
    Optional<NodeName> choose(List<NodeName> watchers, MonotonicTime now) {
        return watchers.stream()
                .filter(watcher -> !contacts.isExcluded(watcher, now))
                .findFirst();
    }

    /**
     * Sends a request to a node.
     *
     * @param tick The tick.
     * @param watcher The node.
     * @param version The version up to which this node's state is complete.
     * @param answerImmediately Whether the node shall answer immediately, even if it has no later changes.
     */
    void request(Tick tick, NodeName watcher, long version, boolean answerImmediately) {
        long number = numbers.next();
        boolean allowsLongHold = !probes && !answerImmediately;
        Optional<NodeIdentity> contact =
                allowsLongHold ? contacts.recentContact(watcher, tick.now()) : Optional.empty();
        Duration hold = contact.isPresent() ? LONG_HOLD : SHORT_HOLD;
        request = Optional.of(new Request(watcher, number, version, tick.now(), hold, contact));
        long holdMillis = answerImmediately ? 0 : hold.toMillis();
        tick.emit(new PeerEffect.Send(watcher, new WatchMessage.Follow(kind, number, version, holdMillis, probes)));
    }

    /**
     * Processes the answer to the request, or detects that there is none.
     *
     * @param tick The tick.
     * @return The outcome of the request, or empty while it is pending.
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
        Request pending = request.get();
        if (isUndeliverable(tick) || pending.isOverdue(tick.now())) {
            return Optional.of(failed(tick));
        }
        if (isLost(pending, tick.now())) {
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
        Request pending = request.orElseThrow();
        return changes.kind().equals(kind)
                && changes.number() == pending.number()
                && changes.requestVersion() == pending.version();
    }

    /**
     * Returns whether a request that is held for long may be lost, because the incarnation of the node that holds it
     * has not answered another kind since, or another kind has excluded the node.
     *
     * @param pending The pending request.
     * @param now The current time.
     * @return {@code true} if it has to be sent again.
     */
    private boolean isLost(Request pending, MonotonicTime now) {
        return pending.contact().isPresent()
                && (contacts.isExcluded(pending.watcher(), now)
                        || !contacts.recentContact(pending.watcher(), now).equals(pending.contact()));
    }

    /**
     * Processes an answer.
     *
     * @param tick The tick.
     * @param changes The answer.
     * @return The outcome of the request.
     */
    private Outcome answered(Tick tick, WatchMessage.Changes changes) {
        Request answered = request.orElseThrow();
        request = Optional.empty();
        if (!changes.inContact()) {
            contacts.exclude(answered.watcher(), tick.now().plus(NO_PLATFORM_EXCLUSION));
        }
        MonotonicTime writtenAt = answered.sentAt().plus(Duration.ofMillis(changes.heldMillis()));
        ages.apply(changes.kindAges(), writtenAt, tick.now());
        return new Outcome(answered.version(), Optional.of(changes), confirmedBy(writtenAt, changes));
    }

    /**
     * Returns the time as of which an answer is guaranteed to be complete. The answer was written no earlier than the
     * request was sent plus the time for which it was held, however long both messages took.
     *
     * @param writtenAt The earliest time at which the answer can have been written.
     * @param changes The answer.
     * @return The time, or empty if the other node has no state.
     */
    private static Optional<MonotonicTime> confirmedBy(MonotonicTime writtenAt, WatchMessage.Changes changes) {
        if (changes.confirmedAgeMillis().isEmpty()) {
            return Optional.empty();
        }
        Duration age = Duration.ofMillis(changes.confirmedAgeMillis().getAsLong());
        return Optional.of(writtenAt.plus(age.negated()));
    }

    /**
     * Returns by how much this node's state becomes older than the watcher's before the next request.
     *
     * @return The difference.
     */
    Duration relayDelay() {
        return probes ? DELIVERY_TIMEOUT.dividedBy(2) : SHORT_HOLD.plus(DELIVERY_TIMEOUT.dividedBy(2));
    }

    /** Abandons the request, whose answer was lost. */
    void abandon() {
        request = Optional.empty();
    }

    /**
     * Adjusts the time of the request after the VM was suspended, while its clock stopped.
     *
     * @param gap How long the VM was suspended.
     */
    void suspended(Duration gap) {
        request = request.map(pending -> pending.sentEarlier(gap));
    }

    /**
     * Excludes the node that gave no answer.
     *
     * @param tick The tick.
     * @return The outcome of the request.
     */
    private Outcome failed(Tick tick) {
        Request lost = request.orElseThrow();
        request = Optional.empty();
        contacts.exclude(lost.watcher(), tick.now().plus(UNRESPONSIVE_EXCLUSION));
        tick.decide(Decision.of(
                "watch",
                kind,
                "excluded " + lost.watcher(),
                "no answer within " + tick.now().since(lost.sentAt()).toMillis()
                        + " ms to the request for changes after version " + lost.version()));
        return new Outcome(lost.version(), Optional.empty(), Optional.empty());
    }

    /**
     * Returns whether the request could not be delivered.
     *
     * @param tick The tick.
     * @return {@code true} if the network reported so.
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
     * A pending request.
     *
     * @param watcher The node to which it was sent.
     * @param number The number of the request.
     * @param version The version up to which this node's state was complete.
     * @param sentAt When it was sent.
     * @param hold How long the node may hold it.
     * @param contact The incarnation of the node with which another kind is in contact, or empty if this request
     *     detects the loss of the node itself.
     */
    private record Request(
            NodeName watcher,
            long number,
            long version,
            MonotonicTime sentAt,
            Duration hold,
            Optional<NodeIdentity> contact) {

        /**
         * Returns whether the answer is overdue.
         *
         * @param now The current time.
         * @return {@code true} if it is.
         */
        boolean isOverdue(MonotonicTime now) {
            return now.since(sentAt).compareTo(hold.plus(DELIVERY_TIMEOUT)) > 0;
        }

        /**
         * Returns a copy of this request with an earlier sending time.
         *
         * @param by The difference.
         * @return The request.
         */
        Request sentEarlier(Duration by) {
            return new Request(watcher, number, version, sentAt.plus(by.negated()), hold, contact);
        }
    }

    /**
     * The outcome of a request.
     *
     * @param version The version of the request.
     * @param changes The answer, or empty if there is none.
     * @param confirmedAt The time as of which the answer is guaranteed to be complete, or empty if it is unknown.
     */
    record Outcome(long version, Optional<WatchMessage.Changes> changes, Optional<MonotonicTime> confirmedAt) {

        /**
         * Returns whether the node that answered is in contact with the platform.
         *
         * @return {@code true} if its answer says so.
         */
        boolean inContact() {
            return changes.filter(WatchMessage.Changes::inContact).isPresent();
        }
    }
}
