package io.yuccaswitch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short soak with fixed seeds. Each seed that ever failed is added here, with a line on the cause. */
final class SoakTest {

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void everyPromiseHoldsUnderRandomFaults(long seed) throws Exception {
        SoakRun.Result result = SoakRun.run(folder, seed, Duration.ofSeconds(12), 3);
        assertThat(result.violations()).as("faults %s", result.faults()).isEmpty();
        assertThat(result.answered()).isPositive();
        assertThat(result.jobs()).isPositive();
    }
}
