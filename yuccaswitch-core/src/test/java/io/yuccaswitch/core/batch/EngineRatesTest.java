package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.batch.EngineRates.Reading;
import io.yuccaswitch.core.batch.EngineRates.Verdict;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the detection of slow engines by readings every quarter of a second. */
final class EngineRatesTest {

    private static final Duration READING_INTERVAL = Duration.ofMillis(250);

    private final EngineRates rates = new EngineRates();
    private final List<EndpointName> engines =
            List.of(name("engine-1"), name("engine-2"), name("engine-3"), name("engine-4"));
    private MonotonicTime now = new MonotonicTime(0);

    @Test
    void anEngineThatBecomesSlowAfterSecondsIsDetectedWithinThreeReadings() {
        for (int i = 0; i < 40; i++) {
            assertThat(readAll(6)).isEqualTo(Verdict.UNCHANGED);
        }
        readAll(2);
        readAll(2);
        assertThat(rates.isSlow(engines.get(0), now) || readAll(2) == Verdict.TURNED_SLOW)
                .isTrue();
    }

    @Test
    void anEngineThatStopsIsDetectedAsSlow() {
        readAll(6);
        readAll(0);
        readAll(0);
        assertThat(rates.isSlow(engines.get(0), now)).isTrue();
    }

    @Test
    void oneSlowReadingDoesNotMakeAnEngineSlow() {
        readAll(6);
        assertThat(readAll(1)).isEqualTo(Verdict.UNCHANGED);
        assertThat(readAll(6)).isEqualTo(Verdict.UNCHANGED);
        assertThat(readAll(1)).isEqualTo(Verdict.UNCHANGED);
        assertThat(rates.isSlow(engines.get(0), now)).isFalse();
    }

    @Test
    void anEngineThatIsAQuarterSlowerIsNotSlow() {
        for (int i = 0; i < 20; i++) {
            assertThat(readAll(4.5)).isEqualTo(Verdict.UNCHANGED);
        }
    }

    @Test
    void anEngineRecoversAfterTwoNormalReadings() {
        readAll(6);
        readAll(1);
        readAll(1);
        assertThat(readAll(6)).isEqualTo(Verdict.UNCHANGED);
        assertThat(readAll(6)).isEqualTo(Verdict.RECOVERED);
        assertThat(rates.isSlow(engines.get(0), now)).isFalse();
    }

    @Test
    void anEngineWithoutReadingsIsConsideredSlowForALimitedTime() {
        readAll(6);
        readAll(1);
        readAll(1);
        now = now.plus(Duration.ofSeconds(2));
        assertThat(rates.isSlow(engines.get(0), now)).isTrue();
        now = now.plus(Duration.ofSeconds(1));
        assertThat(rates.isSlow(engines.get(0), now)).isFalse();
        readAll(6);
        assertThat(rates.isSlow(engines.get(0), now))
                .as("nor because of expired readings")
                .isFalse();
    }

    @Test
    void aReadingOfLongDurationIsSufficientEvidence() {
        rates.addReading(engines.get(1), Reading.of(40, Duration.ofMillis(1500)), now);
        rates.addReading(engines.get(0), Reading.of(9, Duration.ofMillis(1500)), now);
        assertThat(rates.evaluate(engines.get(0))).isEqualTo(Verdict.TURNED_SLOW);
    }

    @Test
    void anEngineWithoutOthersIsNeverSlow() {
        rates.addReading(engines.get(0), Reading.of(0, Duration.ofSeconds(5)), now);
        assertThat(rates.evaluate(engines.get(0))).isEqualTo(Verdict.UNCHANGED);
    }

    /** Adds a reading of each engine: the first generates the given number of events, the others six. */
    private Verdict readAll(double first) {
        now = now.plus(READING_INTERVAL);
        for (EndpointName engine : engines) {
            double events = engine.equals(engines.get(0)) ? first : 6;
            rates.addReading(engine, new Reading(events, READING_INTERVAL.toNanos() / 1e9, READING_INTERVAL), now);
        }
        return rates.evaluate(engines.get(0));
    }

    private static EndpointName name(String engine) {
        return new EndpointName(BatchSite.POOL, engine);
    }
}
