package io.yuccaswitch.core.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the delays after which rejected callers retry. */
final class RetryDelayTest {

    @Test
    void delayIsBetweenTwentyMillisecondsAndTwoSeconds() {
        assertThat(RetryDelay.of(Duration.ZERO, 0)).isGreaterThanOrEqualTo(Duration.ofMillis(20));
        assertThat(RetryDelay.of(Duration.ofMinutes(1), 0.999)).isLessThan(Duration.ofSeconds(2));
    }

    @Test
    void retriesOfCallersThatWereRejectedTogetherAreSpreadEvenly() {
        SplittableRandom random = new SplittableRandom(1);
        Duration untilFree = Duration.ofMillis(100);
        int[] arrivals = new int[10];
        IntStream.range(0, 1000).forEach(_caller -> {
            long millis = RetryDelay.of(untilFree, random.nextDouble()).toMillis();
            arrivals[(int) ((millis - 100) / 10)]++;
        });
        assertThat(Arrays.stream(arrivals).boxed())
                .as("about a tenth of the callers in each tenth of the delay")
                .allMatch(count -> count > 60 && count < 140);
    }
}
