package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class LossBackoffTest {

    private static final Loss ENDED = new Loss(Loss.Cause.ENDPOINT_ENDED, true);

    private final LossBackoff losses = new LossBackoff();
    private MonotonicTime now = MonotonicTime.ZERO.plus(Duration.ofHours(1));

    @Test
    void aSingleLossDelaysNothingButAsksForASeparateConnection() {
        assertThat(losses.hasLosses()).isFalse();
        losses.record(ENDED, now);
        assertThat(losses.hasLosses()).isTrue();
        assertThat(losses.mayStart(now, () -> true)).isTrue();
        assertThat(losses.allowsConcurrentAttempts()).isTrue();
    }

    @Test
    void furtherLossesDelayTheNextAttemptForTwoSecondsAtMost() {
        losses.record(ENDED, now);
        for (int millis : new int[] {250, 500, 1000, 2000, 2000, 2000}) {
            losses.record(ENDED, now);
            assertThat(losses.allowsConcurrentAttempts()).isFalse();
            assertThat(losses.mayStart(now.plus(Duration.ofMillis(millis - 1)), () -> false))
                    .isFalse();
            now = now.plus(Duration.ofMillis(millis));
            assertThat(losses.mayStart(now, () -> false)).isTrue();
        }
    }

    @Test
    void thousandsOfLossesStillDelayTheNextAttemptForTwoSeconds() {
        for (int i = 0; i < 10_000; i++) {
            losses.record(ENDED, now);
        }
        assertThat(losses.mayStart(now.plus(Duration.ofMillis(1999)), () -> false))
                .isFalse();
        assertThat(losses.mayStart(now.plus(Duration.ofSeconds(2)), () -> false))
                .isTrue();
    }

    @Test
    void theLastEndpointIsSparedForThreeSecondsAtMost() {
        losses.record(ENDED, now);
        losses.record(ENDED, now);
        assertThat(losses.mayStart(now.plus(Duration.ofMillis(2999)), () -> true))
                .isFalse();
        assertThat(losses.mayStart(now.plus(Duration.ofSeconds(3)), () -> true)).isTrue();
    }

    @Test
    void anAnswerThatTheEndpointSurvivedDelaysNothing() {
        for (Loss.Cause cause : new Loss.Cause[] {Loss.Cause.UNUSABLE, Loss.Cause.BROKEN_OFF}) {
            for (int i = 0; i < 5; i++) {
                losses.record(new Loss(cause, true), now);
            }
        }
        assertThat(losses.hasLosses()).isFalse();
        assertThat(losses.mayStart(now, () -> true)).isTrue();
    }
}
