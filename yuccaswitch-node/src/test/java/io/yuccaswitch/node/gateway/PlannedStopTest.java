package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests which requests a stopping node still takes. */
final class PlannedStopTest {

    private static final MonotonicTime BEGUN = new MonotonicTime(1_000_000_000);

    private final PlannedStop stop = new PlannedStop(BEGUN, Duration.ofMillis(7100));

    @Test
    void takesAllRequestsWhileCallersUseEarlierAnswersOfTheDirectory() {
        assertThat(stop.admits(at(30_000), at(2600))).isTrue();
    }

    @Test
    void takesNoRequestThatMayOutlastTheStopOnceTheTimeIsShort() {
        assertThat(stop.admits(at(7100), at(3000))).isFalse();
        assertThat(stop.admits(at(30_000), at(2700))).isFalse();
    }

    @Test
    void takesARequestThatMustBeAnsweredBeforeTheEnd() {
        assertThat(stop.admits(at(6900), at(4000))).isTrue();
    }

    private static MonotonicTime at(int millis) {
        return BEGUN.plus(Duration.ofMillis(millis));
    }
}
