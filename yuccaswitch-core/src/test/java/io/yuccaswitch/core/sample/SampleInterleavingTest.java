package io.yuccaswitch.core.sample;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.request.Generation.Segment;
import io.yuccaswitch.core.request.Outcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Applies random sequences of faults, and checks that each slot is delivered exactly once and within the staleness
 * bound.
 */
final class SampleInterleavingTest {

    private static final int NODE_COUNT = 6;

    @Property(tries = 60, seed = "20261202")
    void everyAcceptedSlotIsDeliveredOnceAndWithinTheBound(
            @ForAll @Size(min = 5, max = 40) List<@IntRange(max = 16) Integer> actions, @ForAll long seed) {
        TrainerSettings settings =
                SampleFixtures.trainer(1, 1, Optional.of(SampleFixtures.SCORERS), seed % 2 == 0, 4096);
        Run run = new Run(SampleFixtures.fleet(Map.of("a", settings)), seed);
        actions.forEach(run::act);
        run.heal();

        assertThat(run.trainer.receiveAll(run.accepted(), 400))
                .as("received %s of %s", run.trainer.received.keySet(), run.accepted())
                .isTrue();
        run.fleet.run(Duration.ofSeconds(5));
        run.trainer.pull(run.anyNode(), 10);
        assertThat(run.trainer.received.keySet()).isEqualTo(run.accepted());
    }

    /** One run of a fleet and a trainer under faults. */
    private static final class Run {

        private final SampleFleet fleet;
        private final TrainerModel trainer;
        private final EngineModel.Simple engine;
        private final SplittableRandom random;
        private final List<Long> submissions = new ArrayList<>();
        private final Set<GroupKey> submitted = new HashSet<>();
        private Optional<String> earlierCursor = Optional.empty();
        private long step;

        private Run(SampleFleet fleet, long seed) {
            this.fleet = fleet;
            random = new SplittableRandom(seed);
            trainer = new TrainerModel(fleet, "a", 1);
            engine = (EngineModel.Simple) fleet.engines;
            engine.label = _request -> random.nextInt(10) == 0
                    ? List.of(new Segment(engine.version, 5), new Segment(Segment.UNKNOWN_VERSION, 5))
                    : List.of(new Segment(engine.version, 10));
            engine.override = _request -> random.nextInt(10) == 0
                    ? Optional.of(new Outcome.Unknown("lost", "The answer was lost."))
                    : Optional.empty();
            submit();
        }

        private void act(int action) {
            switch (action) {
                case 0, 1, 2 -> trainer.pull(anyNode(), 1 + random.nextInt(4));
                case 3 -> trainer.pullUnprocessed(anyNode(), 1 + random.nextInt(4), OptionalLong.empty());
                case 4 -> submit();
                case 5 -> killRandomNode();
                case 6, 7 -> restartMissingNode();
                case 8 -> fleet.restart(anyNode());
                case 9 -> isolateRandomNode();
                case 10 -> fleet.partitioned.clear();
                case 11 -> fleet.platform.unavailable = !fleet.platform.unavailable;
                case 12 -> nextVersion();
                case 13 -> fleet.lossCondition = _message -> random.nextInt(4) == 0;
                case 14 -> fleet.lossCondition = _message -> false;
                case 15 -> earlierCursor = trainer.cursor;
                default -> trainer.restartFrom(earlierCursor);
            }
            fleet.run(Duration.ofMillis(random.nextInt(1500)));
        }

        private void heal() {
            fleet.partitioned.clear();
            fleet.lossCondition = _message -> false;
            fleet.platform.unavailable = false;
            for (int node = 0; node < NODE_COUNT; node++) {
                restartMissingNode();
            }
            fleet.run(Duration.ofSeconds(5));
            // Resubmits all groups as a trainer does, since groups are lost if both of their holders end at the same
            // time.
            for (long earlier = 0; earlier < step; earlier++) {
                fleet.submit(anyNode(), SampleFixtures.groups("a", earlier, 3, 2));
            }
            fleet.run(Duration.ofSeconds(6));
        }

        private Set<GroupKey> accepted() {
            return submitted;
        }

        private void submit() {
            List<GroupSpecification> groups = SampleFixtures.groups("a", step++, 3, 2);
            groups.forEach(group -> submitted.add(group.key()));
            submissions.add(fleet.submit(anyNode(), groups));
        }

        private void nextVersion() {
            engine.version++;
            trainer.useVersion++;
            fleet.publish(trainer.name, engine.version);
        }

        private void isolateRandomNode() {
            fleet.partitioned.clear();
            fleet.partitioned.add("vm-" + (1 + random.nextInt(NODE_COUNT)));
        }

        private void killRandomNode() {
            if (fleet.nodes.size() > 4) {
                fleet.kill(anyNode());
            }
        }

        private void restartMissingNode() {
            for (int node = 1; node <= NODE_COUNT; node++) {
                if (fleet.node("vm-" + node) == null) {
                    fleet.restart("vm-" + node);
                    return;
                }
            }
        }

        private String anyNode() {
            List<String> names =
                    fleet.nodes.keySet().stream().map(name -> name.value()).toList();
            return names.get(random.nextInt(names.size()));
        }
    }
}
