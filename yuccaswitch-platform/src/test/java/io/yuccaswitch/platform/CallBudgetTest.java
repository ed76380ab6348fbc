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
    void anOrdinaryPurposeIsLimitedToItsShare() {
        assertThat(acquireAll(PlatformPurpose.SAMPLE)).isEqualTo(50);
        assertThat(acquireAll(PlatformPurpose.REQUEST)).isEqualTo(20);
    }

    @Test
    void leasesAndConfigurationUseTheReserveAfterOrdinaryPurposesHaveUsedTheirShare() {
        acquireAll(PlatformPurpose.SAMPLE);
        acquireAll(PlatformPurpose.REQUEST);
        assertThat(acquireAll(PlatformPurpose.WEIGHT)).isZero();
        assertThat(acquireAll(PlatformPurpose.LEASE)).isEqualTo(30);
        assertThat(acquireAll(PlatformPurpose.CONFIGURATION)).isZero();
    }

    @Test
    void writesAndReadsAreLimitedSeparately() {
        acquireAll(PlatformPurpose.LEASE);
        assertThat(budget.tryAcquire(PlatformPurpose.LEASE, false)).isTrue();
    }

    @Test
    void theRateIsKeptOverTime() {
        int taken = acquireAll(PlatformPurpose.LEASE);
        for (int step = 0; step < 500; step++) {
            clock.addAndGet(Duration.ofMillis(20).toNanos());
            taken += acquireAll(PlatformPurpose.LEASE);
        }
        assertThat(taken).isBetween(875, 880);
    }

    @Test
    void continuousCallsForLeasesAndConfigurationLeaveAFifthOfTheRateToOtherPurposes() {
        int ordinary = 0;
        for (int step = 0; step < 1000; step++) {
            clock.addAndGet(Duration.ofMillis(10).toNanos());
            acquireAll(PlatformPurpose.LEASE);
            acquireAll(PlatformPurpose.CONFIGURATION);
            ordinary += acquireAll(PlatformPurpose.SAMPLE);
        }
        assertThat(ordinary).isBetween(150, 250);
    }

    @Test
    void afterTheBudgetIsDrainedOrdinaryCallsAreLimitedToTheSteadyRate() {
        budget.drain();
        assertThat(budget.tryAcquire(PlatformPurpose.SAMPLE, true)).isFalse();
        assertThat(budget.tryAcquire(PlatformPurpose.LEASE, true)).isTrue();
        clock.addAndGet(Duration.ofMillis(100).toNanos());
        assertThat(acquireAll(PlatformPurpose.SAMPLE)).isBetween(8, 10);
    }

    @Test
    void aNodeOfALargeFleetCanRenewThreeLeasesPerSecond() {
        CallBudget small = new CallBudget(CallRates.DEFAULT.shareOf(350), clock::get);
        int renewed = 0;
        for (int second = 0; second < 60; second++) {
            clock.addAndGet(Duration.ofSeconds(1).toNanos());
            for (int lease = 0; lease < 3; lease++) {
                renewed += small.tryAcquire(PlatformPurpose.LEASE, true) ? 1 : 0;
            }
        }
        assertThat(renewed).isEqualTo(180);
    }

    @Test
    void aLowerRateDiscardsSavedTokens() {
        budget.changeRates(new CallRates(10, 10));
        assertThat(acquireAll(PlatformPurpose.LEASE)).isEqualTo(8);
        assertThat(acquireAll(PlatformPurpose.SAMPLE)).isZero();
    }

    private int acquireAll(PlatformPurpose purpose) {
        int taken = 0;
        while (budget.tryAcquire(purpose, true)) {
            taken++;
        }
        return taken;
    }
}
