package io.yuccaswitch.core.suspension;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class SuspensionDetectorTest {

    private static final long EPOCH = 1_700_000_000_000L;

    private final SuspensionDetector detector = new SuspensionDetector();

    @Test
    void noSuspensionIsReportedWhileBothClocksAdvanceEqually() {
        for (long millis = 0; millis < 10_000; millis += 100) {
            assertThat(detector.check(at(millis), EPOCH + millis)).isEmpty();
        }
    }

    @Test
    void timeThatOnlyTheWallClockCountedIsReportedOnce() {
        detector.check(at(0), EPOCH);
        assertThat(detector.check(at(100), EPOCH + 5100)).contains(new Suspended(Duration.ofSeconds(5)));
        assertThat(detector.check(at(200), EPOCH + 5200)).isEmpty();
    }

    @Test
    void smallCorrectionsAddUpToASuspension() {
        detector.check(at(0), EPOCH);
        assertThat(detector.check(at(100), EPOCH + 220)).isEmpty();
        assertThat(detector.check(at(200), EPOCH + 450)).contains(new Suspended(Duration.ofMillis(250)));
    }

    @Test
    void wallClockThatIsSetBackIsNotReportedButBecomesTheNewReference() {
        detector.check(at(0), EPOCH);
        assertThat(detector.check(at(100), EPOCH - 2000)).isEmpty();
        assertThat(detector.check(at(200), EPOCH - 900)).contains(new Suspended(Duration.ofSeconds(1)));
    }

    private static MonotonicTime at(long millis) {
        return new MonotonicTime(Duration.ofMillis(millis).toNanos());
    }
}
