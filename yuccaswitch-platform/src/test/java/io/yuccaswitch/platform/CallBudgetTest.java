package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.platform.PlatformPurpose;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class CallBudgetTest {

    private final AtomicLong clock = new AtomicLong();

    private final CallBudget budget = new CallBudget(new CallRates(100, 100), clock::get);

    @Test
    void noSingleOrdinaryPurposeTakesMoreThanItsShare() {
        assertThat(taken(PlatformPurpose.SAMPLE)).isEqualTo(50);
        assertThat(taken(PlatformPurpose.REQUEST)).isEqualTo(20);
    }

    @Test
    void leasesAndConfigurationGoOnWhenOrdinaryPurposesHaveTakenTheirs() {
        taken(PlatformPurpose.SAMPLE);
        taken(PlatformPurpose.REQUEST);
        assertThat(taken(PlatformPurpose.WEIGHT)).isZero();
        assertThat(taken(PlatformPurpose.LEASE)).isEqualTo(30);
        assertThat(taken(PlatformPurpose.CONFIGURATION)).isZero();
    }

    @Test
    void writesAndReadsAreCountedApart() {
        taken(PlatformPurpose.LEASE);
        assertThat(budget.tryAcquire(PlatformPurpose.LEASE, false)).isTrue();
    }

    @Test
    void theRateHoldsOverTime() {
        int taken = taken(PlatformPurpose.LEASE);
        for (int step = 0; step < 500; step++) {
            clock.addAndGet(Duration.ofMillis(20).toNanos());
            taken += taken(PlatformPurpose.LEASE);
        }
        assertThat(taken).isBetween(1095, 1100);
    }

    @Test
    void afterTheReturnOfThePlatformOrdinaryCallsWaitForTheSteadyRate() {
        budget.drain();
        assertThat(budget.tryAcquire(PlatformPurpose.SAMPLE, true)).isFalse();
        assertThat(budget.tryAcquire(PlatformPurpose.LEASE, true)).isTrue();
        clock.addAndGet(Duration.ofMillis(100).toNanos());
        assertThat(taken(PlatformPurpose.SAMPLE)).isBetween(8, 10);
    }

    @Test
    void aNodeOfALargeFleetCanStillRenewALease() {
        CallBudget small = new CallBudget(CallRates.DEFAULT.shareOf(350), clock::get);
        assertThat(small.tryAcquire(PlatformPurpose.LEASE, true)).isTrue();
        assertThat(small.tryAcquire(PlatformPurpose.LEASE, true)).isFalse();
        clock.addAndGet(Duration.ofSeconds(1).toNanos());
        assertThat(small.tryAcquire(PlatformPurpose.LEASE, true)).isTrue();
    }

    @Test
    void aLowerRateTakesAwayWhatWasSaved() {
        budget.changeRates(new CallRates(2, 2));
        assertThat(taken(PlatformPurpose.LEASE)).isEqualTo(2);
    }

    private int taken(PlatformPurpose purpose) {
        int taken = 0;
        while (budget.tryAcquire(purpose, true)) {
            taken++;
        }
        return taken;
    }
}
