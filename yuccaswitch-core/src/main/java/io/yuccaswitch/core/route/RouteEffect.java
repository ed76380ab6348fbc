package io.yuccaswitch.core.route;

import io.yuccaswitch.core.decision.Effect;

/** The effects of the route configuration on the shell. */
public sealed interface RouteEffect extends Effect {

    /**
     * A configuration has become active.
     *
     * @param configuration The configuration.
     */
    record Activated(RouteConfiguration configuration) implements RouteEffect {}
}
