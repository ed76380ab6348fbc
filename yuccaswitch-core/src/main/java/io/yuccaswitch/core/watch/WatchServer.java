package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.KindWatch;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/** Answers the followers of this node as soon as there are changes or this node loses contact with the platform. */
final class WatchServer {

    /** The kind. */
    private final String kind;

    /** This node's copy of the objects. */
    private final KindReplica replica;

    /** This node's own watch at the platform. */
    private final KindWatch watch;

    /** Supplies the latest time as of which this node's state is guaranteed to be complete. */
    private final Supplier<Optional<MonotonicTime>> confirmedAt;

    /** The ages of this node's state for all kinds. */
    private final KindAges ages;

    /** The held requests, by the nodes that sent them. */
    private final Map<NodeName, HeldRequest> held = new HashMap<>();

    /**
     * Creates a server without requests.
     *
     * @param kind The kind.
     * @param replica This node's copy of the objects.
     * @param watch This node's own watch at the platform.
     * @param confirmedAt Supplies the latest time as of which this node's state is guaranteed to be complete.
     * @param ages The ages of this node's state for all kinds.
     */
    WatchServer(
            String kind,
            KindReplica replica,
            KindWatch watch,
            Supplier<Optional<MonotonicTime>> confirmedAt,
            KindAges ages) {
        this.kind = kind;
        this.replica = replica;
        this.watch = watch;
        this.confirmedAt = confirmedAt;
        this.ages = ages;
    }

    /**
     * Accepts requests, and answers those that are due.
     *
     * @param tick The tick.
     */
    void run(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof WatchMessage.Follow follow
                    && follow.kind().equals(kind)) {
                held.put(received.sender().name(), new HeldRequest(follow, tick.now()));
            }
        }
        if (held.isEmpty()) {
            return;
        }
        boolean inContact = watch.isInContact(tick.now());
        held.entrySet().removeIf(entry -> answerIfDue(tick, entry.getKey(), entry.getValue(), inContact));
    }

    /**
     * Answers a request if it is due.
     *
     * @param tick The tick.
     * @param sender The node that sent it.
     * @param request The request.
     * @param inContact Whether this node is in contact with the platform.
     * @return Whether it was answered.
     */
    private boolean answerIfDue(Tick tick, NodeName sender, HeldRequest request, boolean inContact) {
        boolean holdExpired = tick.now().since(request.receivedAt()).toMillis()
                >= request.follow().holdMillis();
        boolean hasChanges = replica.hasChangesAfter(request.follow().version());
        boolean confirmed =
                confirmedAt.get().filter(request.receivedAt()::isBefore).isPresent();
        if (inContact
                && !holdExpired
                && !hasChanges
                && !(confirmed && request.follow().wantsConfirmation())) {
            return false;
        }
        tick.emit(new PeerEffect.Send(sender, answer(tick, request, inContact)));
        return true;
    }

    /**
     * Builds the answer to a request.
     *
     * @param tick The tick.
     * @param request The request.
     * @param inContact Whether this node is in contact with the platform.
     * @return The answer.
     */
    private WatchMessage.Changes answer(Tick tick, HeldRequest request, boolean inContact) {
        WatchMessage.Follow follow = request.follow();
        KindFeed.Changes changes = replica.changesAfter(follow.version());
        Optional<MonotonicTime> confirmed = confirmedAt.get();
        OptionalLong confirmedAge =
                confirmed.isPresent() ? OptionalLong.of(ageMillis(confirmed.get(), tick)) : OptionalLong.empty();
        return new WatchMessage.Changes(
                kind,
                follow.number(),
                follow.version(),
                inContact,
                tick.now().since(request.receivedAt()).toMillis(),
                confirmedAge,
                replica.version(),
                changes.complete(),
                changes.objects(),
                follow.wantsConfirmation() ? ages.localAges(tick) : List.of());
    }

    /**
     * Returns the time that has passed since a time, rounded up.
     *
     * @param at The time.
     * @param tick The tick.
     * @return The age, in milliseconds.
     */
    static long ageMillis(MonotonicTime at, Tick tick) {
        return tick.now().since(at).toMillis() + 1;
    }

    /**
     * A held request.
     *
     * @param follow The request.
     * @param receivedAt When it was received.
     */
    private record HeldRequest(WatchMessage.Follow follow, MonotonicTime receivedAt) {}
}
