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
 * A trainer that takes groups through any node, and checks what it takes. A batch is acknowledged once a pull that
 * presented its cursor was answered; a trainer that loses its cursor loses the batch that was not.
 */
final class TrainerModel {

    final TrainerName name;
    final int bound;
    final TreeMap<GroupKey, FinishedGroup> taken = new TreeMap<>();
    Optional<String> cursor = Optional.empty();
    long useVersion;
    private final SampleFleet fleet;
    private final Set<GroupKey> unacknowledged = new HashSet<>();
    private final Set<GroupKey> inDoubt = new HashSet<>();
    private boolean presented;

    TrainerModel(SampleFleet fleet, String name, int bound) {
        this.fleet = fleet;
        this.name = new TrainerName(name);
        this.bound = bound;
    }

    /** Pulls once and takes the answer. */
    Optional<PullResult> pull(String node, int maximum) {
        Optional<PullResult> result = ask(node, maximum, OptionalLong.empty());
        result.ifPresent(this::take);
        return result;
    }

    /** Pulls once and does not take the answer, as if it were lost. */
    Optional<PullResult> ask(String node, int maximum, OptionalLong step) {
        presented = true;
        long token = fleet.pull(node, name, cursor, useVersion, step, maximum, Duration.ofMillis(500));
        fleet.runUntil(() -> fleet.pulls.containsKey(token), Duration.ofSeconds(15));
        return Optional.ofNullable(fleet.pulls.get(token));
    }

    void take(PullResult result) {
        if (result instanceof PullResult.HandedOver batch) {
            unacknowledged.clear();
            presented = false;
            for (FinishedGroup group : batch.groups()) {
                if (!inDoubt.remove(group.key())) {
                    assertThat(taken).as("delivered before: %s", group.key()).doesNotContainKey(group.key());
                }
                assertThat(group.oldestVersion())
                        .as("the oldest version of %s used at %d", group.key(), useVersion)
                        .isGreaterThanOrEqualTo(useVersion - bound);
                taken.put(group.key(), group);
                unacknowledged.add(group.key());
            }
            cursor = Optional.of(batch.cursor());
        }
    }

    /** Restarts from nothing, without the batch that was not acknowledged. */
    void forget() {
        goOnFrom(Optional.empty());
    }

    /** Restarts from a cursor, without the batch that was not acknowledged. */
    void goOnFrom(Optional<String> earlier) {
        Cursor held = CursorCodec.decodeOrStart(name, earlier.orElse(""));
        unacknowledged.removeIf(held::contains);
        if (presented) {
            inDoubt.addAll(unacknowledged);
        } else {
            taken.keySet().removeAll(unacknowledged);
        }
        unacknowledged.clear();
        cursor = earlier;
    }

    /** Pulls through nodes in turn until all groups are taken. */
    boolean takeAll(Set<GroupKey> groups, int pulls) {
        for (int count = 0; count < pulls && !taken.keySet().containsAll(groups); count++) {
            List<String> names =
                    fleet.nodes.keySet().stream().map(node -> node.value()).toList();
            pull(names.get(count % names.size()), 3);
        }
        return taken.keySet().equals(groups);
    }
}
