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

/** Answers the nodes that follow this one, as soon as there are changes or this node loses the platform. */
final class WatchServer {

    /** The kind. */
    private final String kind;

    /** The objects as this node knows them. */
    private final KindReplica replica;

    /** This node's own watch. */
    private final KindWatch watch;

    /** Tells when the platform surely held nothing beyond what this node knows. */
    private final Supplier<Optional<MonotonicTime>> confirmedAt;

    /** How old what this node knows of all kinds is. */
    private final KindAges ages;

    /** The requests that are held, by the nodes that sent them. */
    private final Map<NodeName, Held> held = new HashMap<>();

    /**
     * Creates a server without requests.
     *
     * @param kind The kind.
     * @param replica The objects as this node knows them.
     * @param watch This node's own watch.
     * @param confirmedAt Tells when the platform surely held nothing beyond what this node knows.
     * @param ages How old what this node knows of all kinds is.
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
     * Takes requests and answers those that are due.
     *
     * @param tick The tick.
     */
    void run(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof WatchMessage.Follow follow
                    && follow.kind().equals(kind)) {
                held.put(received.sender().name(), new Held(follow, tick.now()));
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
     * @param inContact Whether the platform answers this node.
     * @return Whether it was answered.
     */
    private boolean answerIfDue(Tick tick, NodeName sender, Held request, boolean inContact) {
        boolean held =
                tick.now().since(request.at()).toMillis() >= request.follow().holdMillis();
        boolean newer = replica.hasNewsBehind(request.follow().version());
        boolean confirmed = confirmedAt.get().filter(request.at()::isBefore).isPresent();
        if (inContact && !held && !newer && !(confirmed && request.follow().wantsConfirmation())) {
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
     * @param inContact Whether the platform answers this node.
     * @return The answer.
     */
    private WatchMessage.Changes answer(Tick tick, Held request, boolean inContact) {
        WatchMessage.Follow follow = request.follow();
        KindFeed.News news = replica.behind(follow.version());
        Optional<MonotonicTime> confirmed = confirmedAt.get();
        OptionalLong confirmedAge =
                confirmed.isPresent() ? OptionalLong.of(ageMillis(confirmed.get(), tick)) : OptionalLong.empty();
        return new WatchMessage.Changes(
                kind,
                follow.number(),
                follow.version(),
                inContact,
                tick.now().since(request.at()).toMillis(),
                confirmedAge,
                replica.version(),
                news.complete(),
                news.objects(),
                follow.wantsConfirmation() ? ages.own(tick) : List.of());
    }

    /**
     * Returns the age of something that was so at a time, rounded up.
     *
     * @param at The time.
     * @param tick The tick.
     * @return The age, in milliseconds.
     */
    static long ageMillis(MonotonicTime at, Tick tick) {
        return tick.now().since(at).toMillis() + 1;
    }

    /**
     * A request that is held.
     *
     * @param follow The request.
     * @param at When it arrived.
     */
    private record Held(WatchMessage.Follow follow, MonotonicTime at) {}
}
