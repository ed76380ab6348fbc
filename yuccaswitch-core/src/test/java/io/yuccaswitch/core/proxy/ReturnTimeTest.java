package io.yuccaswitch.core.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** When callers that were refused come back. */
final class ReturnTimeTest {

    @Test
    void noCallerIsToldToComeBackAtOnceOrInMoreThanTwoSeconds() {
        assertThat(ReturnTime.of(Duration.ZERO, 0)).isGreaterThanOrEqualTo(Duration.ofMillis(20));
        assertThat(ReturnTime.of(Duration.ofMinutes(1), 0.999)).isLessThan(Duration.ofSeconds(2));
    }

    @Test
    void callersThatWereRefusedTogetherComeBackSpreadOverTheTimeThatAPlaceTakes() {
        SplittableRandom random = new SplittableRandom(1);
        Duration place = Duration.ofMillis(100);
        int[] arrivals = new int[10];
        IntStream.range(0, 1000).forEach(_caller -> {
            long millis = ReturnTime.of(place, random.nextDouble()).toMillis();
            arrivals[(int) ((millis - 100) / 10)]++;
        });
        assertThat(Arrays.stream(arrivals).boxed())
                .as("a tenth of them in each tenth of the time")
                .allMatch(count -> count > 60 && count < 140);
    }
}
