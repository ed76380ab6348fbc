package io.yuccaswitch.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.CallerName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class FairQueueTest {

    private static final List<PriorityClass> CLASSES =
            List.of(PriorityClass.BATCH, PriorityClass.NORMAL, PriorityClass.URGENT);

    private int keys;

    private FairQueue.Entry<Integer> entry(String caller, int weight, PriorityClass priority) {
        return new FairQueue.Entry<>(keys++, new CallerName(caller), weight, priority, 10);
    }

    @Property(tries = 200, seed = "20261202")
    void callersWithBacklogAreServedInProportionToTheirWeights(
            @ForAll @Size(min = 2, max = 5) List<@IntRange(min = 1, max = 9) Integer> weights,
            @ForAll @IntRange(min = 1, max = 400) int served) {
        FairQueue<Integer> queue = new FairQueue<>();
        for (int caller = 0; caller < weights.size(); caller++) {
            for (int count = 0; count < 400; count++) {
                queue.add(entry("c" + caller, weights.get(caller), PriorityClass.NORMAL));
            }
        }
        Map<String, Integer> counts = new HashMap<>();
        for (int count = 0; count < served; count++) {
            counts.merge(queue.poll(_entry -> true).orElseThrow().caller().value(), 1, Integer::sum);
        }
        int total = weights.stream().mapToInt(Integer::intValue).sum();
        for (int caller = 0; caller < weights.size(); caller++) {
            double share = (double) served * weights.get(caller) / total;
            assertThat((double) counts.getOrDefault("c" + caller, 0)).isBetween(share - 2, share + weights.size() + 1);
        }
    }

    @Property(tries = 200, seed = "20261202")
    void noEntryIsLostOrServedTwiceAndTheOrderOfEachCallerIsKept(
            @ForAll @Size(max = 60) List<@IntRange(max = 17) Integer> operations) {
        FairQueue<Integer> queue = new FairQueue<>();
        List<Integer> remaining = new ArrayList<>();
        Map<String, Integer> latest = new HashMap<>();
        for (int operation : operations) {
            if (operation < 12) {
                FairQueue.Entry<Integer> added =
                        entry("c" + operation % 4, 1 + operation % 4, CLASSES.get(operation % 3));
                queue.add(added);
                remaining.add(added.key());
            } else if (operation < 15) {
                queue.poll(_entry -> true).ifPresent(entry -> {
                    assertThat(remaining.remove(entry.key())).isTrue();
                    String flow = entry.caller() + "/" + entry.priority();
                    assertThat(entry.key()).isGreaterThan(latest.getOrDefault(flow, -1));
                    latest.put(flow, entry.key());
                });
            } else if (operation < 16) {
                queue.shedBelow(PriorityClass.URGENT).ifPresent(entry -> assertThat(remaining.remove(entry.key()))
                        .isTrue());
            } else if (!remaining.isEmpty()) {
                assertThat(queue.remove(remaining.remove(0))).isTrue();
            }
            assertThat(queue.size()).isEqualTo(remaining.size());
            assertThat(queue.bytes()).isEqualTo(10L * remaining.size());
        }
    }

    @Test
    void idleCallerAccumulatesNoCredit() {
        FairQueue<Integer> queue = new FairQueue<>();
        for (int count = 0; count < 100; count++) {
            queue.add(entry("busy", 1, PriorityClass.NORMAL));
        }
        for (int count = 0; count < 50; count++) {
            queue.poll(_entry -> true);
        }
        for (int count = 0; count < 50; count++) {
            queue.add(entry("late", 1, PriorityClass.NORMAL));
        }
        int late = 0;
        for (int count = 0; count < 20; count++) {
            late += queue.poll(_entry -> true).orElseThrow().caller().value().equals("late") ? 1 : 0;
        }
        assertThat(late).isBetween(9, 11);
    }

    @Test
    void higherClassesAreServedFirstAndTheLowestClassIsShedFirst() {
        FairQueue<Integer> queue = new FairQueue<>();
        queue.add(entry("a", 1, PriorityClass.NORMAL));
        queue.add(entry("a", 1, PriorityClass.BATCH));
        queue.add(entry("a", 1, PriorityClass.URGENT));

        assertThat(queue.shedBelow(PriorityClass.URGENT).orElseThrow().priority())
                .isEqualTo(PriorityClass.BATCH);
        assertThat(queue.poll(_entry -> true).orElseThrow().priority()).isEqualTo(PriorityClass.URGENT);
        assertThat(queue.shedBelow(PriorityClass.NORMAL)).isEmpty();
    }

    @Test
    void unservableEntryDoesNotBlockTheNextOne() {
        FairQueue<Integer> queue = new FairQueue<>();
        queue.add(entry("a", 1, PriorityClass.NORMAL));
        queue.add(entry("a", 1, PriorityClass.NORMAL));

        assertThat(queue.poll(candidate -> candidate.key() == 1).orElseThrow().key())
                .isOne();
        assertThat(queue.size()).isOne();
    }

    /** Guards against an estimate of the wait that differs from the order in which entries are served. */
    @Property(tries = 200, seed = "20261202")
    void numberOfEntriesAheadIsThatOfTheEntriesServedBefore(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 2) Integer> callers,
            @ForAll @IntRange(max = 20) int served) {
        FairQueue<Integer> queue = new FairQueue<>(Comparator.comparing(entry -> entry.key() % 3));
        callers.forEach(caller -> queue.add(entry("c" + caller, 1, PriorityClass.NORMAL)));
        for (int count = 0; count < served; count++) {
            queue.poll(_entry -> true);
        }
        Map<Integer, Integer> ahead = new HashMap<>();
        queue.entries().forEach(entry -> ahead.put(entry.key(), queue.aheadOf(entry.key())));
        for (int position = 0; queue.size() > 0; position++) {
            int key = queue.poll(_entry -> true).orElseThrow().key();
            // Entries of other callers with an equal turn are counted as served before.
            assertThat(ahead.get(key)).isBetween(position, position + 2);
        }
    }

    /** Guards against decisions that depend on the hash codes of keys, which differ between JVMs for enums. */
    @Test
    void entriesAreListedInTheOrderOfTheirArrivalWhateverTheHashCodesOfTheirKeys() {
        FairQueue<Integer> queue = new FairQueue<>();
        List<Integer> arrivals = List.of(9, 3, 12, 1, 7, 0);
        arrivals.forEach(key ->
                queue.add(new FairQueue.Entry<>(key, new CallerName("c" + key % 2), 1, CLASSES.get(key % 3), 10)));
        assertThat(queue.entries()).extracting(FairQueue.Entry::key).containsExactlyElementsOf(arrivals);
    }
}
