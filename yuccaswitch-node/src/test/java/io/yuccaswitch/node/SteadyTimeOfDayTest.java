package io.yuccaswitch.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The time of day that usage is counted by. */
final class SteadyTimeOfDayTest {

    private static final long START = 1_700_000_000_000L;

    private long clock = START;
    private long nanos;
    private final SteadyTimeOfDay time = new SteadyTimeOfDay(() -> clock, () -> nanos);

    @Test
    void itFollowsAClockThatDrifts() {
        for (int second = 0; second < 100; second++) {
            nanos += 1_000_000_000L;
            clock += 1010;
            assertThat(time.getAsLong()).isEqualTo(clock);
        }
    }

    @Test
    void aStepThatIsTakenBackDoesNotCount() {
        pass(1000);
        clock -= 2000;
        pass(8000);
        assertThat(time.getAsLong()).isEqualTo(START + 9000);
        clock += 2000;
        pass(1000);
        assertThat(time.getAsLong()).isEqualTo(START + 10_000);
    }

    @Test
    void aStepThatLastsCounts() {
        pass(1000);
        clock += 5000;
        pass(10);
        assertThat(time.getAsLong()).isEqualTo(START + 1010);
        pass(60_000);
        time.getAsLong();
        assertThat(time.getAsLong()).isEqualTo(clock);
    }

    private void pass(long millis) {
        nanos += millis * 1_000_000;
        clock += millis;
    }
}
