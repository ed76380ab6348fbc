package io.yuccaswitch.core.route;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

/** Follows the route configuration. A version is only replaced by a higher one. */
public final class RouteConfigurationSystem implements DecisionSystem {

    /** The object kind of the configuration. */
    public static final String KIND = "route-configuration";

    /**
     * The delay that batches versions in quick succession, which is far below the time within which a version must be
     * active.
     */
    private static final Duration BATCHING_DELAY = Duration.ofMillis(100);

    /**
     * The age of its copy at which a node queries the platform itself. It is above the age that updates through other
     * nodes reach in normal operation, and low enough for one call before a configuration must be active.
     */
    private static final Duration DIRECT_QUERY_AGE = Duration.ofMillis(1600);

    /** Supplies the configuration's object. */
    private final KindFeed feed;

    /** Decodes a configuration. */
    private final Function<StoredObject, Optional<RouteConfiguration>> decoder;

    /** The active configuration, if any. */
    private Optional<RouteConfiguration> active = Optional.empty();

    /**
     * Creates a system without a configuration.
     *
     * @param watches This node's shared watches.
     * @param tokens Allocates the tokens of platform calls.
     * @param decoder Decodes a configuration, or returns empty if it cannot be decoded.
     */
    public RouteConfigurationSystem(
            SharedWatches watches,
            PlatformTokens tokens,
            Function<StoredObject, Optional<RouteConfiguration>> decoder) {
        feed = watches.watchWithin(KIND, PlatformPurpose.CONFIGURATION, tokens, BATCHING_DELAY, DIRECT_QUERY_AGE);
        this.decoder = decoder;
    }

    @Override
    public void run(Tick tick) {
        feed.run(tick).ifPresent(changes -> changes.objects().forEach(object -> apply(tick, object)));
    }

    /**
     * Returns the active configuration.
     *
     * @return The configuration, or empty before the first one is applied.
     */
    public Optional<RouteConfiguration> active() {
        return active;
    }

    /**
     * Finds the route of a request in the active configuration.
     *
     * @param host The host, with or without a port.
     * @param path The path, without a query.
     * @return The route, or empty if there is none.
     */
    public Optional<Route> find(String host, String path) {
        return active.flatMap(configuration -> configuration.find(host, path));
    }

    /**
     * Applies a version if it is higher than the active one.
     *
     * @param tick The tick.
     * @param object The object.
     */
    private void apply(Tick tick, StoredObject object) {
        if (object.deleted()) {
            return;
        }
        Optional<RouteConfiguration> decoded = decoder.apply(object);
        if (decoded.isEmpty()) {
            return;
        }
        long activeVersion = active.map(RouteConfiguration::version).orElse(-1L);
        if (decoded.get().version() <= activeVersion) {
            return;
        }
        active = decoded;
        tick.emit(new RouteEffect.Activated(decoded.get()));
        tick.decide(Decision.of(
                "configuration",
                Long.toString(decoded.get().version()),
                "in force",
                "replaces version " + activeVersion));
    }
}
