package io.yuccaswitch.integration.fault;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.integration.site.Site;
import io.yuccaswitch.testkit.check.PromiseChecker;
import io.yuccaswitch.testkit.check.Verdict;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class FaultRunIT {

    private static final long SEED = 20_261_202;

    @Test
    void everyPromiseHoldsUnderSingleAndPairedFaults() throws InterruptedException {
        List<Verdict> verdicts = FaultRun.run(Site.newFolder("fault-run-it"), SEED, Duration.ofSeconds(60), 30);

        assertThat(verdicts).as(PromiseChecker.describe(verdicts)).allMatch(Verdict::held);
    }
}
