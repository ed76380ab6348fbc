package io.yuccaswitch.integration.site;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.Observations;
import io.yuccaswitch.testkit.check.PromiseChecker;
import io.yuccaswitch.testkit.check.Verdict;
import java.util.List;
import java.util.Map;

/** Checks the observations of a site against the promises. */
public final class Promises {

    private Promises() {}

    public static List<Verdict> judge(Site site, Observation... additional) {
        List<Observation> all = site.observations();
        all.addAll(List.of(additional));
        return PromiseChecker.ofAll(
                        Map.of(Site.TRAINER, site.shape().stalenessBound()),
                        PromiseChecker.LEAVING_BOUND,
                        PromiseChecker.CONFIGURATION_BOUND)
                .judge(new Observations(all));
    }

    public static void assertHold(Site site, Observation... additional) {
        List<Verdict> verdicts = judge(site, additional);
        assertThat(verdicts).as(PromiseChecker.describe(verdicts)).allMatch(Verdict::held);
    }
}
