package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A batch system that checks after each tick that nothing is held at an endpoint without an attempt in progress. */
final class CheckedBatchSystem implements DecisionSystem {

    private final BatchSystem batches;

    CheckedBatchSystem(BatchSystem batches) {
        this.batches = batches;
    }

    @Override
    public void run(Tick tick) {
        batches.run(tick);
        Set<EngineLoads.Load> held = new HashSet<>();
        Map<EndpointName, Integer> running = new HashMap<>();
        Map<EndpointName, Integer> scoring = new HashMap<>();
        for (RunningJob job : batches.state().running().view()) {
            for (RunningItem item : job.items()) {
                item.load().ifPresent(load -> {
                    held.add(load);
                    running.merge(load.engine(), 1, Integer::sum);
                });
                item.scoring().ifPresent(found -> found.running()
                        .forEach(attempt -> scoring.merge(attempt.endpoint().name(), 1, Integer::sum)));
            }
        }
        EngineLoads loads = batches.state().loads();
        assertThat(loads.running()).as("items in progress at engines").isEqualTo(running);
        assertThat(held).as("engines on trial have an attempt in progress").containsAll(loads.trials());
        assertThat(batches.state().scoringLoads().running())
                .as("scoring attempts in progress")
                .isEqualTo(scoring);
    }
}
