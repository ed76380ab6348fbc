package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RandomPeer;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.KindWatch;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/** Watches the versions that trainers name, while this node holds the lease. */
final class NamedVersionSystem implements DecisionSystem {

    /** The batching delay of changes, which is short because a step waits for its version and few nodes watch. */
    private static final Duration BATCHING_DELAY = Duration.ofMillis(20);

    /** The timeout of a watch call, which limits the time until a silent connection is detected. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);

    /** The interval of requests to other nodes while the platform does not answer this one. */
    private static final Duration RELAY_INTERVAL = Duration.ofMillis(400);

    /** The watch of the versions. */
    private final KindWatch watch;

    /** Decodes a version. */
    private final Function<StoredObject, Optional<NamedVersion>> decoder;

    /** The lease of the node that gives orders. */
    private final DutyLease lease;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** When the next request to another node may be sent. */
    private MonotonicTime nextRelayAt = MonotonicTime.ZERO;

    /** Whether the versions were listed. */
    private boolean listed;

    /** The newest versions, by model. */
    private final Map<String, Long> newestVersions = new TreeMap<>();

    /** When the newest versions were first observed, by model. */
    private final Map<String, MonotonicTime> observedAt = new HashMap<>();

    /**
     * Creates a system without versions.
     *
     * @param tokens Allocates the tokens of calls.
     * @param decoder Decodes a version, or returns empty if the object is malformed.
     * @param lease The lease of the node that gives orders.
     * @param membership The nodes of the site.
     */
    NamedVersionSystem(
            PlatformTokens tokens,
            Function<StoredObject, Optional<NamedVersion>> decoder,
            DutyLease lease,
            MembershipView membership) {
        watch = new KindWatch(VersionSystems.KIND, PlatformPurpose.WEIGHT, tokens, BATCHING_DELAY, WATCH_TIMEOUT);
        this.decoder = decoder;
        this.lease = lease;
        this.membership = membership;
    }

    @Override
    public void run(Tick tick) {
        // A call that was sent under the lease may be answered after it is lost, and without the answer none follows.
        Optional<KindFeed.Changes> answer = lease.isHeld() ? watch.run(tick) : watch.receive(tick);
        answer.ifPresent(changes -> {
            listed = true;
            changes.objects().forEach(object -> apply(tick, object));
        });
        if (lease.isHeld()) {
            requestFromPeer(tick);
            for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
                if (received.message() instanceof OrderMessage.VersionsRead read) {
                    read.versions().forEach(version -> apply(tick, version));
                }
            }
        }
    }

    /**
     * Requests the versions from another node while the platform does not answer this one.
     *
     * @param tick The tick.
     */
    private void requestFromPeer(Tick tick) {
        if (!lease.isRelaying() || tick.now().isBefore(nextRelayAt)) {
            return;
        }
        nextRelayAt = tick.now().plus(RELAY_INTERVAL);
        RandomPeer.choose(tick, membership)
                .ifPresent(node -> tick.emit(new PeerEffect.Send(node, new OrderMessage.ReadVersions())));
    }

    /**
     * Returns whether the versions were listed. Before that, it is unknown which engines lag.
     *
     * @return {@code true} if they were listed.
     */
    boolean isListed() {
        return listed;
    }

    /**
     * Returns the newest versions.
     *
     * @return The versions by model.
     */
    Map<String, Long> newestVersions() {
        return newestVersions;
    }

    /**
     * Returns the time since the newest version of a model was first observed.
     *
     * @param model The model.
     * @param now The current time.
     * @return The time, or zero for a model without a version.
     */
    Duration age(String model, MonotonicTime now) {
        return now.since(observedAt.getOrDefault(model, now));
    }

    /**
     * Applies a version that the platform stores.
     *
     * @param tick The tick.
     * @param object The object.
     */
    private void apply(Tick tick, StoredObject object) {
        if (!object.deleted()) {
            decoder.apply(object).ifPresent(version -> apply(tick, version));
        }
    }

    /**
     * Applies a version, if it is newer than the recorded one.
     *
     * @param tick The tick.
     * @param version The version.
     */
    private void apply(Tick tick, NamedVersion version) {
        long previous = newestVersions.getOrDefault(version.model(), 0L);
        if (version.version() > previous) {
            newestVersions.put(version.model(), version.version());
            observedAt.put(version.model(), tick.now());
            tick.decide(Decision.of(
                    "version", version.model(), Long.toString(version.version()), "named after " + previous));
        }
    }
}
