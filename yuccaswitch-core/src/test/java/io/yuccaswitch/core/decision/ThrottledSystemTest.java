package io.yuccaswitch.core.decision;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class ThrottledSystemTest {

    private final List<Long> runs = new ArrayList<>();
    private final ThrottledSystem throttled = new ThrottledSystem(
            List.of(tick -> runs.add(tick.now().nanoseconds() / 1_000_000)),
            Irrelevant.class::isInstance,
            () -> Duration.ofMillis(100));

    @Test
    void aTickWithoutEventsRunsNothingBeforeTheMaximumInterval() {
        tick(0);
        tick(40);
        tick(99);
        tick(100);
        assertThat(runs).containsExactly(0L, 100L);
    }

    @Test
    void anEventThatNoSystemHandlesRunsNothing() {
        tick(0);
        tick(10, new Irrelevant());
        assertThat(runs).containsExactly(0L);
    }

    @Test
    void anyOtherEventRunsTheSystemsImmediately() {
        tick(0);
        tick(10, new Irrelevant(), new Relevant());
        tick(50);
        assertThat(runs).containsExactly(0L, 10L);
    }

    private void tick(long millis, Event... events) {
        throttled.run(new Tick(
                new MonotonicTime(Duration.ofMillis(millis).toNanos()),
                Arrays.asList(events),
                new SplittableRandom(1)));
    }

    private record Irrelevant() implements Event {}

    private record Relevant() implements Event {}
}
