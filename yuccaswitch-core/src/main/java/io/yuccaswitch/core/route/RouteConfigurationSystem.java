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

/** Follows the configuration of routes. A version is only ever replaced by a higher one. */
public final class RouteConfigurationSystem implements DecisionSystem {

    /** The kind of the configuration's object. */
    public static final String KIND = "route-configuration";

    /** Gathers quick successions of versions. Far below the time in which a version has to be in force. */
    private static final Duration GATHERING = Duration.ofMillis(100);

    /**
     * The age at which a node asks the platform itself: above what it reaches through other nodes while all is well,
     * and low enough for one call before a configuration has to be in force.
     */
    private static final Duration CONFIRMED = Duration.ofMillis(1600);

    /** Brings the configuration's object. */
    private final KindFeed feed;

    /** Reads a configuration. */
    private final Function<StoredObject, Optional<RouteConfiguration>> decoder;

    /** The configuration in force, if any. */
    private Optional<RouteConfiguration> inForce = Optional.empty();

    /**
     * Creates a system that has no configuration.
     *
     * @param watches This node's shared watches.
     * @param tokens Hands out the tokens of calls.
     * @param decoder Reads a configuration, or returns empty where it can't be read.
     */
    public RouteConfigurationSystem(
            SharedWatches watches,
            PlatformTokens tokens,
            Function<StoredObject, Optional<RouteConfiguration>> decoder) {
        feed = watches.watchWithin(KIND, PlatformPurpose.CONFIGURATION, tokens, GATHERING, CONFIRMED);
        this.decoder = decoder;
    }

    @Override
    public void run(Tick tick) {
        feed.run(tick).ifPresent(news -> news.objects().forEach(object -> take(tick, object)));
    }

    /**
     * Returns the configuration in force.
     *
     * @return The configuration, or empty before the first one was read.
     */
    public Optional<RouteConfiguration> inForce() {
        return inForce;
    }

    /**
     * Finds the route of a request in the configuration in force.
     *
     * @param host The host, with or without a port.
     * @param path The path, without a query.
     * @return The route, or empty if there is none.
     */
    public Optional<Route> find(String host, String path) {
        return inForce.flatMap(configuration -> configuration.find(host, path));
    }

    /**
     * Takes a version, if it is newer than the one in force.
     *
     * @param tick The tick.
     * @param object The object.
     */
    private void take(Tick tick, StoredObject object) {
        if (object.deleted()) {
            return;
        }
        Optional<RouteConfiguration> decoded = decoder.apply(object);
        if (decoded.isEmpty()) {
            return;
        }
        long held = inForce.map(RouteConfiguration::version).orElse(-1L);
        if (decoded.get().version() <= held) {
            return;
        }
        inForce = decoded;
        tick.emit(new RouteEffect.InForce(decoded.get()));
        tick.decide(Decision.of(
                "configuration", Long.toString(decoded.get().version()), "in force", "replaces version " + held));
    }
}
