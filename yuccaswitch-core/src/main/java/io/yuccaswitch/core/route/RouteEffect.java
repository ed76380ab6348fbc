package io.yuccaswitch.core.route;

import io.yuccaswitch.core.decision.Effect;

/** What the routes tell the shell. */
public sealed interface RouteEffect extends Effect {

    /**
     * A configuration is in force from now on.
     *
     * @param configuration The configuration.
     */
    record InForce(RouteConfiguration configuration) implements RouteEffect {}
}
