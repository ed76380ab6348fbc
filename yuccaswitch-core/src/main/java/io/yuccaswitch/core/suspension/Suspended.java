package io.yuccaswitch.core.suspension;

import io.yuccaswitch.core.decision.Event;
import java.time.Duration;

/**
 * The VM was suspended, or its wall clock was set forward; the two cannot be distinguished. Whatever this node may do
 * only for a limited time, as permitted by others, must end as if the time had passed. Whatever others may do only for
 * a limited time must not be considered ended, as their time may not have passed.
 *
 * @param gap The duration of the suspension, as measured by the wall clock.
 */
public record Suspended(Duration gap) implements Event {}
