package io.yuccaswitch.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The registry of endpoints, with entries of the form "pool address state". */
final class EndpointRegistrySystemTest {

    private final TestSite site = new TestSite();
    private EndpointRegistrySystem registry;

    @BeforeEach
    void startNode() {
        site.start("node", (node, tokens) -> {
            registry = new EndpointRegistrySystem(new SharedWatches(node), tokens, EndpointRegistrySystemTest::decode);
            return List.of(registry);
        });
        put("one", "ledger 10.0.0.1:80 ready");
        put("two", "ledger 10.0.0.2:80 ready");
        run(100);
    }

    @Test
    void newEndpointGetsWorkWithin600Milliseconds() {
        put("three", "ledger 10.0.0.3:80 ready");
        run(600);
        assertThat(names("ledger")).containsExactlyInAnyOrder("one", "two", "three");
    }

    @Test
    void leavingEndpointGetsNoNewWork() {
        put("one", "ledger 10.0.0.1:80 draining");
        run(600);
        assertThat(names("ledger")).containsExactly("two");
    }

    @Test
    void endpointIsGoneWhenItsEntryIsRemovedWhileThePlatformAnswers() {
        site.platform().remove(EndpointRegistrySystem.KIND, "one");
        run(600);
        assertThat(names("ledger")).containsExactly("two");
    }

    @Test
    void undecodableEntryYieldsNoEndpointAndAffectsNoOthers() {
        put("one", "unusable");
        put("three", "unusable");
        run(600);
        assertThat(names("ledger")).containsExactly("two");
        put("one", "ledger 10.0.0.1:80 ready");
        run(600);
        assertThat(names("ledger")).containsExactlyInAnyOrder("one", "two");
    }

    @Test
    void laterIncarnationReplacesAnEarlierOne() {
        put("one", "ledger 10.0.0.1:80 ready 7");
        run(600);
        EndpointName earlier = name("one", 7);
        assertThat(registry.find(earlier)).isPresent();
        put("one", "ledger 10.0.0.1:80 ready 9");
        run(600);
        assertThat(registry.find(earlier)).isEmpty();
        assertThat(registry.hasRestarted(earlier)).isTrue();
        assertThat(registry.find(name("one", 9))).isPresent();
    }

    @Test
    void lateEntryOfAnEarlierIncarnationIsIgnored() {
        put("one", "ledger 10.0.0.1:80 ready 9");
        run(600);
        put("one", "ledger 10.0.0.1:80 draining 7");
        run(600);
        assertThat(registry.find(name("one", 9))).isPresent();
        assertThat(names("ledger")).contains("one");
    }

    @Test
    void entryThatLapsedDuringAnOutageIsRetainedForAShortTimeAndThenRemoved() {
        site.platform().failWhere((_node, _call) -> true);
        put("other", "ledger 10.0.0.9:80 ready");
        run(1500);
        site.platform().remove(EndpointRegistrySystem.KIND, "one");
        site.platform().failWhere((_node, _call) -> false);
        run(1000);
        assertThat(names("ledger")).contains("one");
        run(2500);
        assertThat(names("ledger")).doesNotContain("one");
    }

    @Test
    void entryThatReappearsAfterAnOutageIsKept() {
        site.platform().failWhere((_node, _call) -> true);
        put("other", "ledger 10.0.0.9:80 ready");
        run(1500);
        site.platform().remove(EndpointRegistrySystem.KIND, "one");
        site.platform().failWhere((_node, _call) -> false);
        run(800);
        put("one", "ledger 10.0.0.1:80 ready");
        run(3000);
        assertThat(names("ledger")).contains("one");
    }

    @Test
    void addressBelongsOnlyToTheServiceThatRegisteredItLast() {
        put("stranger", "catalogue 10.0.0.1:80 ready");
        run(600);
        assertThat(names("ledger")).containsExactly("two");
        assertThat(names("catalogue")).containsExactly("stranger");
    }

    @Test
    void registryIsListedAgainAfterThePlatformCompactsItsHistory() {
        put("three", "ledger 10.0.0.3:80 ready");
        site.platform().remove(EndpointRegistrySystem.KIND, "two");
        site.platform().compact();
        run(1000);
        assertThat(names("ledger")).containsExactlyInAnyOrder("one", "three");
    }

    private void put(String name, String value) {
        site.platform().put(EndpointRegistrySystem.KIND, name, value);
    }

    private static EndpointName name(String value, long incarnation) {
        return new EndpointName(new PoolName("ledger"), value, incarnation);
    }

    private void run(int millis) {
        site.run(Duration.ofMillis(millis));
    }

    private List<String> names(String pool) {
        return registry.working(new PoolName(pool)).stream()
                .map(endpoint -> endpoint.name().value())
                .toList();
    }

    static Optional<RegisteredEndpoint> decode(StoredObject object) {
        String[] parts = object.value().toUtf8().split(" ", -1);
        if (parts.length < 3) {
            return Optional.empty();
        }
        return Optional.of(new RegisteredEndpoint(
                new EndpointName(
                        new PoolName(parts[0]), object.key().name(), parts.length > 3 ? Long.parseLong(parts[3]) : 0),
                parts[1],
                new AvailabilityZone("zone-a"),
                4,
                parts[2].equals("draining"),
                Map.of()));
    }
}
