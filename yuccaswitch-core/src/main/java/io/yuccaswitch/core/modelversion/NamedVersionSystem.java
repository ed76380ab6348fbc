package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RandomPeer;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
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

/** Follows the versions that trainers name, while this node has to know them. */
final class NamedVersionSystem implements DecisionSystem {

    /** No gathering: a step waits for its version, and few nodes watch. */
    private static final Duration GATHERING = Duration.ofMillis(20);

    /** How long one watch waits, which bounds how late a connection that has gone silent is noticed. */
    private static final Duration WAIT_TIME = Duration.ofSeconds(2);

    /** How often another node is asked for the versions while the platform does not answer this one. */
    private static final Duration RELAY_INTERVAL = Duration.ofMillis(400);

    /** The watch of the versions. */
    private final KindWatch watch;

    /** Reads a version. */
    private final Function<StoredObject, Optional<NamedVersion>> decoder;

    /** Whether this node gives orders. */
    private final DutyLease lease;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** When another node may be asked for the versions. */
    private MonotonicTime relayAt = MonotonicTime.ZERO;

    /** Whether the versions were read. */
    private boolean listed;

    /** The newest versions, by model. */
    private final Map<String, Long> named = new TreeMap<>();

    /** When the newest versions were first seen, by model. */
    private final Map<String, MonotonicTime> namedAt = new HashMap<>();

    /**
     * Creates a system that knows no versions.
     *
     * @param tokens Hands out the tokens of calls.
     * @param decoder Reads a version, or returns empty where it can't be read.
     * @param lease Whether this node gives orders.
     * @param membership The nodes of the site.
     */
    NamedVersionSystem(
            PlatformTokens tokens,
            Function<StoredObject, Optional<NamedVersion>> decoder,
            DutyLease lease,
            MembershipView membership) {
        watch = new KindWatch(VersionSystems.KIND, PlatformPurpose.WEIGHT, tokens, GATHERING, WAIT_TIME);
        this.decoder = decoder;
        this.lease = lease;
        this.membership = membership;
    }

    @Override
    public void run(Tick tick) {
        if (lease.isHeld()) {
            watch.run(tick).ifPresent(news -> {
                listed = true;
                news.objects().forEach(object -> take(tick, object));
            });
            askOther(tick);
            for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
                if (received.message() instanceof OrderMessage.VersionsRead read) {
                    read.versions().forEach(version -> take(tick, version));
                }
            }
        }
    }

    /**
     * Asks another node for the versions while the platform does not answer this one.
     *
     * @param tick The tick.
     */
    private void askOther(Tick tick) {
        if (!lease.isRelaying() || tick.now().isBefore(relayAt)) {
            return;
        }
        relayAt = tick.now().plus(RELAY_INTERVAL);
        RandomPeer.choose(tick, membership)
                .ifPresent(node -> tick.emit(new PeerEffect.Send(node, new OrderMessage.ReadVersions())));
    }

    /**
     * Returns whether the versions were read, before which no engine can be told to lag or not.
     *
     * @return {@code true} if they were.
     */
    boolean isListed() {
        return listed;
    }

    /**
     * Returns the newest versions.
     *
     * @return The versions by model.
     */
    Map<String, Long> named() {
        return named;
    }

    /**
     * Returns for how long the newest version of a model has been known.
     *
     * @param model The model.
     * @param now The present.
     * @return The time, which is zero for a model without a version.
     */
    Duration age(String model, MonotonicTime now) {
        return now.since(namedAt.getOrDefault(model, now));
    }

    /**
     * Takes a version.
     *
     * @param tick The tick.
     * @param object The object.
     */
    private void take(Tick tick, StoredObject object) {
        if (!object.deleted()) {
            decoder.apply(object).ifPresent(version -> take(tick, version));
        }
    }

    /**
     * Takes a version, if it is newer than the known one.
     *
     * @param tick The tick.
     * @param version The version.
     */
    private void take(Tick tick, NamedVersion version) {
        long before = named.getOrDefault(version.model(), 0L);
        if (version.version() > before) {
            named.put(version.model(), version.version());
            namedAt.put(version.model(), tick.now());
            tick.decide(
                    Decision.of("version", version.model(), Long.toString(version.version()), "named after " + before));
        }
    }
}
