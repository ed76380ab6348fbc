package io.yuccaswitch.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

    private static ConcurrencyLimit after(ConcurrencyLimit limit, int samples, double latency, boolean overloaded) {
        ConcurrencyLimit updated = limit;
        for (int count = 0; count < samples; count++) {
            updated = updated.after(new ConcurrencyLimit.Sample(latency, updated.limit(), overloaded));
        }
        return updated;
    }

    @Test
    void limitGrowsUpToItsMaximumWhileLatencyIsStable() {
        assertThat(after(new ConcurrencyLimit.AdditiveIncrease(8, 32, 2), 2000, 0.1, false)
                        .limit())
                .isEqualTo(32);
        assertThat(after(new ConcurrencyLimit.Gradient(8, 32), 2000, 0.1, false).limit())
                .isEqualTo(32);
    }

    @Test
    void limitShrinksUnderOverloadButNotBelowOne() {
        assertThat(after(new ConcurrencyLimit.AdditiveIncrease(32, 64, 2), 1000, 0, true)
                        .limit())
                .isOne();
        assertThat(after(new ConcurrencyLimit.Gradient(32, 64), 1000, 0, true).limit())
                .isOne();
    }

    @Test
    void limitShrinksWhenLatencyIncreases() {
        ConcurrencyLimit additive = after(new ConcurrencyLimit.AdditiveIncrease(32, 64, 2), 50, 0.1, false);
        assertThat(after(additive, 100, 2, false).limit()).isLessThan(additive.limit() / 2);
        ConcurrencyLimit gradient = after(new ConcurrencyLimit.Gradient(32, 64), 50, 0.1, false);
        assertThat(after(gradient, 100, 2, false).limit()).isLessThan(gradient.limit() / 2);
    }
}
