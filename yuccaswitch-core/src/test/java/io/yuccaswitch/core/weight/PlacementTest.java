package io.yuccaswitch.core.weight;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.EndpointSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class PlacementTest {

    private final TestSite site = new TestSite();

    @Test
    void twoTrainersAndAnAdapterShareAPoolByWeight() {
        for (int index = 0; index < 6; index++) {
            site.addEngine("e" + index, Map.of());
        }
        site.addTrainer("t1", "a", 1);
        site.addTrainer("t2", "a+x", 1);
        site.addTrainer("t3", "b", 1);
        site.addNode("n1");
        site.addNode("n2");
        site.configure();
        site.run(Duration.ofSeconds(3));
        site.publish(site.nodes.get("n1"), "t1", 4);
        site.publish(site.nodes.get("n2"), "t2", 7);
        site.publish(site.nodes.get("n1"), "t3", 9);
        site.run(Duration.ofSeconds(40));
        assertThat(site.engines.values().stream().filter(engine -> engine.versions.equals(Map.of("a", 4L, "a+x", 7L))))
                .hasSize(4);
        assertThat(site.engines.values().stream().filter(engine -> engine.versions.equals(Map.of("b", 9L))))
                .hasSize(2);
    }

    @Test
    void anEngineKeepsItsModelAfterAShortOutageAndIsReplacedAfterALongOne() {
        for (int index = 0; index < 4; index++) {
            site.addEngine("e" + index, Map.of(index < 3 ? "a" : "b", 1L));
        }
        site.addTrainer("t1", "a", 3);
        site.addTrainer("t2", "b", 1);
        site.addNode("n1");
        site.addNode("n2");
        site.configure();
        site.publish(site.nodes.get("n1"), "t2", 2);
        site.run(Duration.ofSeconds(10));
        assertThat(site.engine("e3").versions).containsEntry("b", 2L);
        site.engine("e3").reachable = false;
        site.run(Duration.ofSeconds(20));
        assertThat(placed("b")).isEqualTo(1);
        assertThat(site.engine("e0").versions).doesNotContainKey("b");
        site.run(Duration.ofSeconds(40));
        assertThat(site.engines.values().stream()
                        .filter(engine -> engine.reachable && engine.versions.containsKey("b")))
                .hasSize(1);
    }

    @Test
    void aNewHolderMovesNoModel() {
        for (int index = 0; index < 5; index++) {
            site.addEngine("e" + index, Map.of(index % 2 == 0 ? "a" : "b", 1L));
        }
        site.addTrainer("t1", "a", 1);
        site.addTrainer("t2", "b", 1);
        site.addNode("n1");
        site.addNode("n2");
        site.configure();
        site.publish(site.nodes.get("n1"), "t1", 1);
        site.publish(site.nodes.get("n1"), "t2", 1);
        site.run(Duration.ofSeconds(10));
        site.kill(site.holder().orElseThrow());
        site.run(Duration.ofSeconds(40));
        assertThat(site.holder()).isPresent();
        assertThat(site.engines.values())
                .allSatisfy(engine -> assertThat(engine.orders).isZero());
        assertThat(site.nodes.values().iterator().next().decisions)
                .filteredOn(decision -> decision.kind().equals("place"))
                .allSatisfy(decision -> assertThat(decision.reason()).isEqualTo("the engine holds it already"))
                .allSatisfy(decision -> assertThat(decision.candidates())
                        .extracting(Decision.Candidate::name)
                        .containsExactly("a", "b"));
    }

    @Test
    void noModelMovesIfSharesDeviateByLessThanTheHysteresis() {
        List<EngineRow> engines = engines(5, Map.of());
        Map<EndpointName, List<String>> before = new HashMap<>();
        for (int index = 0; index < 5; index++) {
            before.put(name(index), List.of(index < 3 ? "a" : "b"));
        }
        PlacementPolicy.Placement smallDeviation =
                new PlacementPolicy(groups(List.of(49, 51)), engines, _trainer -> Optional.empty()).place(before);
        assertThat(smallDeviation.groups()).isEqualTo(before);
        assertThat(smallDeviation.moves()).isEmpty();
        PlacementPolicy.Placement largeDeviation =
                new PlacementPolicy(groups(List.of(40, 60)), engines, _trainer -> Optional.empty()).place(before);
        assertThat(largeDeviation.moves()).hasSize(1);
    }

    @Property(tries = 200, seed = "20261202")
    void eachModelGetsItsShareAndAtLeastOneEngine(
            @ForAll @IntRange(min = 1, max = 40) int engines,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 9) Integer> weights) {
        List<ModelGroup> groups = groups(weights);
        PlacementPolicy.Placement placement = null;
        Map<EndpointName, List<String>> before = Map.of();
        do {
            placement = new PlacementPolicy(groups, engines(engines, Map.of("a", 1L)), _trainer -> Optional.empty())
                    .place(before);
            before = placement.groups();
        } while (!placement.settled());
        int total = weights.stream().mapToInt(Integer::intValue).sum();
        for (ModelGroup group : groups) {
            long held = before.values().stream()
                    .filter(bases -> bases.contains(group.base()))
                    .count();
            double share = (double) engines * group.weight() / total;
            assertThat(held).isPositive();
            if (engines >= 2 * groups.size() && share >= 1) {
                assertThat((double) held).isBetween(share - groups.size() - 1, share + 1.25);
            }
        }
        assertThat(before).hasSize(engines);
    }

    private long placed(String base) {
        WeightTables tables = site.holder().orElseThrow().tables;
        return tables.pools().view().iterator().next().placement().values().stream()
                .filter(bases -> bases.contains(base))
                .count();
    }

    private static List<ModelGroup> groups(List<Integer> weights) {
        return ModelGroup.group(IntStream.range(0, weights.size())
                .mapToObj(index -> new ModelGroup.Model(
                        new TrainerName("t" + index), Character.toString('a' + index), weights.get(index)))
                .toList());
    }

    private static List<EngineRow> engines(int count, Map<String, Long> versions) {
        return IntStream.range(0, count)
                .mapToObj(index -> EngineRow.unknown(
                                name(index),
                                new EndpointSettings("e:1", new AvailabilityZone("zone-" + index % 3), 1),
                                MonotonicTime.ZERO)
                        .withReading(new EngineRow.Reading("1", versions), false, MonotonicTime.ZERO))
                .toList();
    }

    private static EndpointName name(int index) {
        return new EndpointName(new PoolName(TestSite.POOL), "e" + index);
    }
}
