package io.yuccaswitch.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class SteadyTimeOfDayTest {

    private static final long START_MILLIS = 1_700_000_000_000L;

    private long clockMillis = START_MILLIS;
    private long nanos;
    private final SteadyTimeOfDay time = new SteadyTimeOfDay(() -> clockMillis, () -> nanos);

    @Test
    void theTimeFollowsADriftingClock() {
        for (int second = 0; second < 100; second++) {
            nanos += 1_000_000_000L;
            clockMillis += 1010;
            assertThat(time.getAsLong()).isEqualTo(clockMillis);
        }
    }

    @Test
    void aRevertedStepIsIgnored() {
        advance(1000);
        clockMillis -= 2000;
        advance(8000);
        assertThat(time.getAsLong()).isEqualTo(START_MILLIS + 9000);
        clockMillis += 2000;
        advance(1000);
        assertThat(time.getAsLong()).isEqualTo(START_MILLIS + 10_000);
    }

    @Test
    void aPersistentStepIsApplied() {
        advance(1000);
        clockMillis += 5000;
        advance(10);
        assertThat(time.getAsLong()).isEqualTo(START_MILLIS + 1010);
        advance(60_000);
        time.getAsLong();
        assertThat(time.getAsLong()).isEqualTo(clockMillis);
    }

    private void advance(long millis) {
        nanos += millis * 1_000_000;
        clockMillis += millis;
    }
}
