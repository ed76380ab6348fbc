package io.yuccaswitch.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;

class RetryBudgetTest {

    @Property(tries = 200, seed = "20261202")
    void retriesStayWithinTheirShareOfTheRequestsPlusABoundedBurst(
            @ForAll @DoubleRange(max = 1) double ratio, @ForAll @Size(max = 2000) List<Boolean> operations) {
        RetryBudget budget = new RetryBudget();
        int requests = 0;
        int retries = 0;
        for (boolean request : operations) {
            if (request) {
                requests++;
                budget = budget.deposit(ratio);
            } else if (budget.allows()) {
                retries++;
                budget = budget.withdraw();
            }
            assertThat(retries).isLessThanOrEqualTo((int) (ratio * requests + 4 + 1e-6));
        }
    }
}
