package io.yuccaswitch.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.endpoint.LoadReport;
import io.yuccaswitch.core.limit.ConcurrencyLimit;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EndpointLoadTest {

    private static final MonotonicTime NOW = new MonotonicTime(1_000_000_000);
    private static final Duration MAXIMUM_AGE = Duration.ofSeconds(5);

    private final EndpointLoad unused = EndpointLoad.unused(new ConcurrencyLimit.Fixed(8));

    private static Optional<LoadReport> report(int active) {
        return Optional.of(new LoadReport(NOW, active, 0, 32, 0));
    }

    @Test
    void ownRequestsHaveFullWeightAndThoseOfOtherNodesAReducedWeight() {
        EndpointLoad load = unused.withReport(report(5)).afterSend().afterSend().withReport(report(5));

        assertThat(load.estimate(report(5), NOW, MAXIMUM_AGE)).isEqualTo(2 + 0.3 * 5);
        assertThat(load.afterEnd().estimate(report(5), NOW, MAXIMUM_AGE)).isEqualTo(1 + 0.3 * 5);
    }

    @Test
    void weightOfAReportDecreasesWithItsAge() {
        EndpointLoad load = unused.afterSend().withReport(report(21));

        assertThat(load.estimate(report(21), NOW.plus(Duration.ofMillis(2500)), MAXIMUM_AGE))
                .isEqualTo(1 + 0.3 * 0.5 * 20);
        assertThat(load.estimate(report(21), NOW.plus(Duration.ofSeconds(9)), MAXIMUM_AGE))
                .isEqualTo(1);
    }

    @Test
    void estimateIsAtLeastTheNumberOfOwnRequests() {
        EndpointLoad load = unused.afterSend().afterSend().afterSend().withReport(report(0));

        assertThat(load.estimate(report(0), NOW, MAXIMUM_AGE)).isEqualTo(3);
    }

    @Test
    void fittedModelPredictsALinearIterationTime() {
        IterationTimeModel model = IterationTimeModel.EMPTY;
        for (int count = 0; count < 300; count++) {
            int active = 1 + count % 30;
            model = model.after(active, 0.020 + 0.001 * active);
        }
        assertThat(model.predict(4)).isBetween(0.023, 0.025);
        assertThat(model.predict(30)).isBetween(0.048, 0.052);
    }
}
