package io.yuccaswitch.core.sample;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.TrainerName;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * A trainer that pulls groups through any node, and checks that each group is delivered once and within the staleness
 * bound. A batch is acknowledged once a pull that presented its cursor was answered. A trainer that loses its cursor
 * also loses the unacknowledged batch.
 */
final class TrainerModel {

    final TrainerName name;
    final int stalenessBound;
    final TreeMap<GroupKey, FinishedGroup> received = new TreeMap<>();
    Optional<String> cursor = Optional.empty();
    long useVersion;
    private final SampleFleet fleet;
    private final Set<GroupKey> unacknowledged = new HashSet<>();
    private final Set<GroupKey> possiblyAcknowledged = new HashSet<>();
    private boolean cursorPresented;

    TrainerModel(SampleFleet fleet, String name, int stalenessBound) {
        this.fleet = fleet;
        this.name = new TrainerName(name);
        this.stalenessBound = stalenessBound;
    }

    /** Pulls once and processes the answer. */
    Optional<PullResult> pull(String node, int maximum) {
        Optional<PullResult> result = pullUnprocessed(node, maximum, OptionalLong.empty());
        result.ifPresent(this::process);
        return result;
    }

    /** Pulls once and does not process the answer, as if it were lost. */
    Optional<PullResult> pullUnprocessed(String node, int maximum, OptionalLong step) {
        cursorPresented = true;
        long token = fleet.pull(node, name, cursor, useVersion, step, maximum, Duration.ofMillis(500));
        fleet.runUntil(() -> fleet.pulls.containsKey(token), Duration.ofSeconds(15));
        return Optional.ofNullable(fleet.pulls.get(token));
    }

    void process(PullResult result) {
        if (result instanceof PullResult.HandedOver batch) {
            unacknowledged.clear();
            cursorPresented = false;
            for (FinishedGroup group : batch.groups()) {
                if (!possiblyAcknowledged.remove(group.key())) {
                    assertThat(received).as("delivered before: %s", group.key()).doesNotContainKey(group.key());
                }
                assertThat(group.oldestVersion())
                        .as("the oldest version of %s used at %d", group.key(), useVersion)
                        .isGreaterThanOrEqualTo(useVersion - stalenessBound);
                received.put(group.key(), group);
                unacknowledged.add(group.key());
            }
            cursor = Optional.of(batch.cursor());
        }
    }

    /** Restarts without a cursor and without the unacknowledged batch. */
    void restartWithoutCursor() {
        restartFrom(Optional.empty());
    }

    /** Restarts from a cursor and without the unacknowledged batch. */
    void restartFrom(Optional<String> earlier) {
        Cursor acknowledged = CursorCodec.decodeOrStart(name, earlier.orElse(""));
        unacknowledged.removeIf(acknowledged::contains);
        if (cursorPresented) {
            possiblyAcknowledged.addAll(unacknowledged);
        } else {
            received.keySet().removeAll(unacknowledged);
        }
        unacknowledged.clear();
        cursor = earlier;
    }

    /** Pulls through all nodes in turn until all groups are received. */
    boolean receiveAll(Set<GroupKey> groups, int pulls) {
        for (int count = 0; count < pulls && !received.keySet().containsAll(groups); count++) {
            List<String> names =
                    fleet.nodes.keySet().stream().map(node -> node.value()).toList();
            pull(names.get(count % names.size()), 3);
        }
        return received.keySet().equals(groups);
    }
}
