package io.yuccaswitch.core.suspension;

import io.yuccaswitch.core.decision.Event;
import java.time.Duration;

/**
 * The machine was suspended, or its time of day was set forward, which can't be told apart. What this node may do only
 * for so long after others let it has to end as if the time had passed. What others may do only for so long must not be
 * taken to have ended, as it may not have.
 *
 * @param gap For how long, as far as the time of day tells.
 */
public record Suspended(Duration gap) implements Event {}
