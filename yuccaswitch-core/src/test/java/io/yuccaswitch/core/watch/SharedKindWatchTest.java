package io.yuccaswitch.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Ten nodes that share their watches of two kinds. */
final class SharedKindWatchTest {

    private static final String KIND = "thing";
    private static final String OTHER_KIND = "other";

    /** The time within which a change has to reach every node that is connected. */
    private static final Duration MAXIMUM_DELAY = Duration.ofMillis(1900);

    private final TestSite site = new TestSite();
    private final Map<String, Copy> copies = new TreeMap<>();
    private final Map<String, Copy> others = new TreeMap<>();

    @BeforeEach
    void startNodes() {
        site.connect((_from, _to) -> false);
        for (int i = 0; i < 10; i++) {
            start("node-" + i);
        }
        site.platform().put(KIND, "a", "first");
        site.run(Duration.ofSeconds(3));
    }

    @Test
    void changeReachesAllNodesWithin400Milliseconds() {
        site.platform().put(KIND, "a", "second");
        site.platform().put(KIND, "b", "new");
        site.run(Duration.ofMillis(400));
        assertThat(copies.values())
                .allSatisfy(copy ->
                        assertThat(copy.content).containsEntry("a", "second").containsEntry("b", "new"));
    }

    @Test
    void deletionReachesAllNodes() {
        site.platform().remove(KIND, "a");
        site.run(Duration.ofMillis(400));
        assertThat(copies.values()).allSatisfy(copy -> assertThat(copy.content).isEmpty());
    }

    @Test
    void onlyTwoNodesCallThePlatform() {
        int before = site.platform().log().size();
        site.run(Duration.ofSeconds(10));
        int calls = site.platform().log().size() - before;
        assertThat(calls).isBetween(48, 60);
    }

    @Test
    void changeArrivesInTimeWhileTheWatchersAreDisconnectedFromThePlatform() {
        Set<String> watchers = watchers();
        site.platform().disconnectWhere(watchers::contains);
        site.platform().put(KIND, "a", "second");
        site.run(MAXIMUM_DELAY);
        assertThat(copiesExcept(watchers))
                .allSatisfy(copy -> assertThat(copy.content).containsEntry("a", "second"));
    }

    @Test
    void changeArrivesInTimeWhileTheWatchersAreUnreachable() {
        Set<String> watchers = watchers();
        site.connect((from, to) -> watchers.contains(from) || watchers.contains(to));
        site.platform().put(KIND, "a", "second");
        site.run(MAXIMUM_DELAY);
        assertThat(copiesExcept(watchers))
                .allSatisfy(copy -> assertThat(copy.content).containsEntry("a", "second"));
    }

    @Test
    void changeArrivesInTimeWhileTheWatchersAreFrozenAndAfterTheyResume() {
        Set<String> watchers = watchers();
        watchers.forEach(name -> copies.get(name).node.freeze(true));
        site.run(Duration.ofMillis(50));
        site.platform().put(KIND, "a", "second");
        site.run(MAXIMUM_DELAY);
        assertThat(copiesExcept(watchers))
                .allSatisfy(copy -> assertThat(copy.content).containsEntry("a", "second"));
        watchers.forEach(name -> copies.get(name).node.freeze(false));
        site.run(Duration.ofSeconds(2));
        assertThat(copies.values()).allSatisfy(copy -> assertThat(copy.content).containsEntry("a", "second"));
    }

    @Test
    void followerRejectedByThePlatformReceivesChangesFromOtherNodes() {
        String rejected = copiesExcept(watchers()).iterator().next().node.name();
        site.platform().failWhere((node, _call) -> node.equals(rejected));
        site.platform().put(KIND, "a", "second");
        site.run(Duration.ofMillis(600));
        assertThat(copies.get(rejected).content).containsEntry("a", "second");
    }

    @Test
    void nodesRejectedByThePlatformTogetherWithBothWatchersReceiveChangesFromOtherNodes() {
        Set<String> rejected = new TreeSet<>(watchers());
        rejected.add(copiesExcept(watchers()).iterator().next().node.name());
        site.platform().failWhere((node, _call) -> rejected.contains(node));
        site.run(Duration.ofSeconds(2));
        site.platform().put(KIND, "a", "second");
        site.run(MAXIMUM_DELAY);
        assertThat(copies.values()).allSatisfy(copy -> assertThat(copy.content).containsEntry("a", "second"));
    }

    @Test
    void watcherRejectedByThePlatformReceivesChangesFromTheOtherWatcher() {
        String rejected = watchers().iterator().next();
        site.platform().failWhere((node, _call) -> node.equals(rejected));
        site.run(Duration.ofSeconds(2));
        site.platform().put(KIND, "a", "second");
        site.run(MAXIMUM_DELAY);
        assertThat(copies.get(rejected).content).containsEntry("a", "second");
    }

    @Test
    void onlyWatchersCallThePlatformWithoutFailures() {
        site.run(Duration.ofSeconds(2));
        Set<String> watchers = watchers();
        copies.values().forEach(copy -> copy.node.take(PeerEffect.Send.class));
        Set<String> callers = new TreeSet<>();
        site.platform().failWhere((node, _call) -> {
            callers.add(node);
            return false;
        });
        for (int i = 0; i < 20; i++) {
            site.platform().put(KIND, "a", "change " + i);
            site.run(Duration.ofMillis(130 + 60 * i));
        }
        assertThat(callers).isSubsetOf(watchers);
    }

    @Test
    void nodeThatStartsWhileThePlatformRejectsItReceivesAllObjectsFromOtherNodes() {
        site.platform().failWhere((node, _call) -> node.equals("late"));
        start("late");
        site.run(Duration.ofSeconds(2));
        assertThat(copies.get("late").content).containsEntry("a", "first");
    }

    @Test
    void allNodesConvergeAfterThePlatformCompactsItsHistory() {
        site.platform().put(KIND, "c", "short-lived");
        site.run(Duration.ofMillis(400));
        site.platform().remove(KIND, "c");
        site.platform().put(KIND, "d", "kept");
        site.platform().compact();
        site.run(Duration.ofSeconds(2));
        assertThat(copies.values()).allSatisfy(copy -> assertThat(copy.content).containsOnlyKeys("a", "d"));
    }

    @Test
    void stateAgesDuringAnOutageOfThePlatform() {
        site.platform().failWhere((_node, _call) -> true);
        site.run(Duration.ofSeconds(2));
        assertThat(copies.values()).allSatisfy(copy -> assertThat(copy.age(site.now()))
                .isBetween(Duration.ofSeconds(2), MAXIMUM_DELAY.multipliedBy(2)));
        site.platform().failWhere((_node, _call) -> false);
        site.run(Duration.ofSeconds(1));
        assertThat(copies.values())
                .allSatisfy(copy -> assertThat(copy.age(site.now())).isLessThan(Duration.ofSeconds(1)));
    }

    @Test
    void ageOfTheStateCountsFromThePlatformDespiteDelayedMessages() {
        Set<String> watchers = watchers();
        site.delayMessages((from, _to) -> watchers.contains(from) ? Duration.ofMillis(250) : Duration.ZERO);
        site.platform().delayAnswers(name -> watchers.contains(name) ? Duration.ofMillis(150) : Duration.ZERO);
        site.run(Duration.ofSeconds(2));
        site.platform().silenceWhere(_name -> true);
        MonotonicTime silent = site.now();
        for (int i = 0; i < 100; i++) {
            site.run(Duration.ofMillis(10));
            assertThat(copies.values()).allSatisfy(copy -> assertThat(copy.age(site.now()))
                    .isGreaterThanOrEqualTo(site.now().since(silent)));
        }
    }

    @Test
    void stateAgesWhileTheVmIsSuspended() {
        Copy copy = copiesExcept(watchers()).iterator().next();
        copy.node.suspend();
        site.run(Duration.ofSeconds(5));
        site.platform().silenceWhere(_name -> true);
        site.connect((_from, _to) -> true);
        copy.node.resume();
        site.run(Duration.ofMillis(20));
        assertThat(copy.age(site.now())).isGreaterThan(Duration.ofSeconds(4));
    }

    @Test
    void allNodesReceiveChangesWithin1200MillisecondsAfterAnOutage() {
        site.platform().failWhere((_node, _call) -> true);
        site.run(Duration.ofSeconds(5));
        site.platform().put(KIND, "a", "second");
        site.platform().failWhere((_node, _call) -> false);
        site.run(Duration.ofMillis(1200));
        assertThat(copies.values()).allSatisfy(copy -> assertThat(copy.content).containsEntry("a", "second"));
    }

    @Test
    void nodesCallRarelyWhileThePlatformIsUnreachable() {
        site.platform().failWhere((_node, _call) -> true);
        site.run(Duration.ofSeconds(2));
        int before = site.platform().log().size();
        site.run(Duration.ofSeconds(10));
        double perNodeKindAndSecond = (site.platform().log().size() - before) / 200.0;
        assertThat(perNodeKindAndSecond).isLessThan(1.2);
    }

    @Test
    void answerToARequestOfAnEarlierIncarnationIsIgnored() {
        Copy copy = copiesExcept(watchers()).iterator().next();
        long number = copy.node.take(PeerEffect.Send.class).stream()
                .map(send -> (WatchMessage.Follow) send.message())
                .filter(follow -> follow.kind().equals(KIND))
                .map(WatchMessage.Follow::number)
                .max(Long::compare)
                .orElseThrow();
        StoredObject unexpected = new StoredObject(
                new io.yuccaswitch.core.platform.ObjectKey(KIND, "z"),
                Long.MAX_VALUE,
                io.yuccaswitch.core.value.Bytes.ofUtf8("strange"),
                false);
        copy.node.accept(new PeerEvent.Received(
                new NodeIdentity(new NodeName("node-9"), 1),
                new WatchMessage.Changes(
                        KIND,
                        number,
                        1,
                        true,
                        0,
                        OptionalLong.of(0),
                        Long.MAX_VALUE,
                        false,
                        List.of(unexpected),
                        List.of())));
        site.run(Duration.ofMillis(20));
        assertThat(copy.content).doesNotContainKey("z");
    }

    @Test
    void changeOfAnotherKindArrivesInTimeWhileTheWatchersAreUnreachable() {
        site.run(Duration.ofSeconds(2));
        Set<String> watchers = watchers();
        site.connect((from, to) -> watchers.contains(from) || watchers.contains(to));
        site.platform().put(OTHER_KIND, "a", "second");
        site.run(MAXIMUM_DELAY);
        assertThat(others.entrySet())
                .filteredOn(other -> !watchers.contains(other.getKey()))
                .allSatisfy(other -> assertThat(other.getValue().content).containsEntry("a", "second"));
    }

    @Test
    void changeOfAnotherKindArrivesInTimeAfterTheWatchersRestarted() {
        site.run(Duration.ofSeconds(2));
        watchers().forEach(this::start);
        site.run(Duration.ofMillis(300));
        site.platform().put(OTHER_KIND, "a", "second");
        site.run(MAXIMUM_DELAY);
        assertThat(others.values())
                .allSatisfy(other -> assertThat(other.content).containsEntry("a", "second"));
    }

    @Test
    void changeOfAnotherKindArrivesInTimeAlthoughTheAnswerWithItWasLost() {
        for (int change = 0; change < 10; change++) {
            String value = "change " + change;
            site.run(Duration.ofMillis(2000 + 70 * change));
            Set<String> watchers = watchers();
            site.connect((from, _to) -> watchers.contains(from));
            site.platform().put(OTHER_KIND, "a", value);
            site.run(Duration.ofMillis(30));
            site.connect((_from, _to) -> false);
            site.run(MAXIMUM_DELAY);
            assertThat(others.values())
                    .allSatisfy(other -> assertThat(other.content).containsEntry("a", value));
        }
    }

    @Test
    void furtherKindTakesAtMostAnEighthOfTheRequestsOfTheFirst() {
        site.run(Duration.ofSeconds(2));
        copies.values().forEach(copy -> copy.node.take(PeerEffect.Send.class));
        site.run(Duration.ofSeconds(20));
        Map<String, Long> requests = copies.values().stream()
                .flatMap(copy -> copy.node.take(PeerEffect.Send.class).stream())
                .map(PeerEffect.Send::message)
                .filter(WatchMessage.Follow.class::isInstance)
                .map(message -> ((WatchMessage.Follow) message).kind())
                .collect(Collectors.groupingBy(kind -> kind, Collectors.counting()));
        assertThat(requests.get(OTHER_KIND)).isBetween(1L, requests.get(KIND) / 8);
    }

    private void start(String name) {
        site.start(name, (node, tokens) -> {
            SharedWatches watches = new SharedWatches(node);
            Duration batchingDelay = Duration.ofMillis(100);
            Copy copy = new Copy(node, watches.watch(KIND, PlatformPurpose.DISCOVERY, tokens, batchingDelay));
            Copy other = new Copy(node, watches.watch(OTHER_KIND, PlatformPurpose.DISCOVERY, tokens, batchingDelay));
            copies.put(name, copy);
            others.put(name, other);
            return List.of(copy, other);
        });
    }

    private Set<String> watchers() {
        TestNode any = copies.get("node-0").node;
        return RendezvousRanking.pair(WatchRoles.RANKING_KEY, any.working()).stream()
                .map(member -> member.identity().name().value())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private List<Copy> copiesExcept(Set<String> names) {
        List<Copy> found = new ArrayList<>(copies.values());
        found.removeIf(copy -> names.contains(copy.node.name()));
        return found;
    }

    /** A node's copy of the objects. */
    private final class Copy implements DecisionSystem {

        private final TestNode node;
        private final SharedKindWatch feed;
        private final Map<String, String> content = new TreeMap<>();
        private Duration lag = Duration.ZERO;

        Copy(TestNode node, SharedKindWatch feed) {
            this.node = node;
            this.feed = feed;
        }

        @Override
        public void run(Tick tick) {
            lag = site.now().since(tick.now());
            feed.run(tick).ifPresent(this::apply);
        }

        /** Returns the age of the node's state by a clock that runs on while the node's clock is stopped. */
        Duration age(MonotonicTime now) {
            return now.since(feed.confirmedAt().orElseThrow().plus(lag));
        }

        private void apply(KindFeed.Changes changes) {
            if (changes.complete()) {
                content.clear();
            }
            for (StoredObject object : changes.objects()) {
                if (object.deleted()) {
                    content.remove(object.key().name());
                } else {
                    content.put(object.key().name(), object.value().toUtf8());
                }
            }
        }
    }
}
