package io.yuccaswitch.core.sample;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.TrainerName;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class RestartedEntryNodeTest {

    private static final TrainerName FIRST = new TrainerName("a");
    private static final TrainerName OTHER = new TrainerName("b");

    /** The token of the first pull at a node, whose entry server counts pulls from its start. */
    private static final long TOKEN = 1;

    private final SampleFleet fleet = SampleFixtures.fleet(Map.of(
            FIRST.value(), SampleFixtures.trainer(1, 1, Optional.empty(), true, 4096),
            OTHER.value(), SampleFixtures.trainer(1, 1, Optional.empty(), true, 4096)));

    /** Guards against a trainer that gets the groups that another one pulled before the node restarted. */
    @Test
    void theAnswerToAPullBeforeARestartIsNotTakenForThatToAnotherTrainersPull() {
        String entry = entry();
        pull(entry, FIRST);
        fleet.run(Duration.ofMillis(100));
        fleet.restart(entry);
        pull(entry, OTHER);
        submit(FIRST);
        assertThat(fleet.pulls).doesNotContainKey(TOKEN);
        submit(OTHER);
        assertThat(fleet.pulls.get(TOKEN))
                .isInstanceOfSatisfying(PullResult.HandedOver.class, answer -> assertThat(answer.groups())
                        .isNotEmpty()
                        .allMatch(group -> group.key().trainer().equals(OTHER)));
    }

    /** Returns a node that keeps the groups of neither trainer. */
    private String entry() {
        return fleet.nodes.keySet().stream()
                .map(Object::toString)
                .filter(name -> !fleet.keepers(FIRST).contains(name)
                        && !fleet.keepers(OTHER).contains(name))
                .findFirst()
                .orElseThrow();
    }

    /** Submits groups of a trainer, and runs the nodes until they are finished. */
    private void submit(TrainerName trainer) {
        fleet.submit(fleet.keepers(trainer).get(0), SampleFixtures.groups(trainer.value(), 1, 6, 4));
        fleet.run(Duration.ofSeconds(5));
    }

    private void pull(String node, TrainerName trainer) {
        fleet.node(node)
                .inbox
                .add(new SampleEvent.PullRequested(
                        TOKEN, trainer, Optional.empty(), 1, OptionalLong.empty(), 4, Duration.ofSeconds(20)));
    }
}
