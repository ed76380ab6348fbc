package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.value.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests that texts in progress survive the failure of the node that runs them, as they are stored on the platform. */
final class TextCheckpointSystemTest {

    private final BatchSite site = new BatchSite();

    @Test
    void aNodeThatTakesOverAJobResumesAfterTheStoredEvents() {
        TestNode first = site.node("node-1");
        site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 1));
        site.run(100);
        grow(first, site.started.get(0), 0, 40);
        grow(first, site.started.get(0), 40, 10);
        site.run(1200);
        site.kill(first);
        site.run(3000);
        BatchEffect.Run resumed = site.started.get(1);
        assertThat(resumed.lastEventId()).isEqualTo(50);
        assertThat(resumed.item().id()).isEqualTo("job-0");
    }

    @Test
    void theResultOfAResumedItemContainsAllEventsOnceAndAllTheirVersions() {
        TestNode first = site.node("node-1");
        TestNode second = site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 1));
        site.run(100);
        first.accept(new BatchEvent.TextGrown(
                new BatchJobId("job"), "job-0", 1, 0, new ItemText(2, List.of(event(1), event(2)), List.of(1L))));
        site.run(1200);
        site.kill(first);
        site.run(3000);
        BatchEffect.Run resumed = site.started.get(1);
        second.accept(BatchSite.ended(
                resumed, new AttemptOutcome.Completed(), new ItemText(3, List.of(event(3)), List.of(2L))));
        site.run(1000);
        BatchResult result = site.results("job").get(0);
        assertThat(result.output().toUtf8()).isEqualTo("e1\ne2\ne3");
        assertThat(result.versions()).containsExactly(1L, 2L);
    }

    @Test
    void aTextUnderAVersionBelowTheMinimumIsNotUsed() {
        TestNode first = site.node("node-1");
        site.registerEngine("engine-3", 2);
        site.node("node-2");
        site.run(600);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 1, 2));
        site.run(100);
        grow(first, site.started.get(0), 0, 40);
        site.run(1200);
        site.kill(first);
        site.run(3000);
        assertThat(site.started.get(1).lastEventId()).isZero();
    }

    @Test
    void aRestartedRunnerResumesAfterTheTextsOfItsEarlierIncarnation() {
        TestNode first = site.node("node-1");
        site.node("node-2");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 1));
        site.run(100);
        grow(first, site.started.get(0), 0, 40);
        site.run(1200);
        site.kill(first);
        site.node("node-1");
        site.run(1500);
        assertThat(site.started.get(site.started.size() - 1).lastEventId()).isEqualTo(40);
    }

    @Test
    void longItemsResumeAfterTheirStoredTextsWhenAllNodesHaveFailed() {
        TestNode only = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(only, BatchSite.job("job", 1));
        site.run(100);
        grow(only, site.started.get(0), 0, 40);
        site.run(1200);
        grow(only, site.started.get(0), 40, 30);
        site.run(2200);
        site.kill(only);
        site.node("node-2");
        site.run(4000);
        assertThat(site.started.get(site.started.size() - 1).lastEventId()).isEqualTo(70);
    }

    @Test
    void aPartThatThePlatformDidNotStoreIsStoredWithTheNextOne() {
        TestNode only = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(only, BatchSite.job("job", 1));
        site.run(100);
        grow(only, site.started.get(0), 0, 40);
        site.site.platform().failWhere((_node, _call) -> true);
        site.run(1500);
        grow(only, site.started.get(0), 40, 30);
        site.site.platform().failWhere((_node, _call) -> false);
        site.run(3000);
        site.kill(only);
        site.node("node-2");
        site.run(4000);
        assertThat(site.started.get(site.started.size() - 1).lastEventId()).isEqualTo(70);
    }

    @Test
    void aTextThatStartedFromTheBeginningDoesNotContinueTheDiscardedOne() {
        site.demandSingleVersion();
        site.site.platform().remove(EndpointRegistrySystem.KIND, "engine-2");
        TestNode first = site.node("node-1");
        site.run(100);
        site.engines(_run -> Optional.empty());
        site.submit(first, BatchSite.job("job", 1));
        site.run(100);
        grow(first, site.started.get(0), 0, 40);
        first.accept(
                BatchSite.ended(site.started.get(0), new AttemptOutcome.Interrupted("broken off", false), text(0, 40)));
        site.registerEngine("engine-1", 2);
        site.run(2000);
        BatchEffect.Run second = site.started.get(1);
        assertThat(second.lastEventId()).isZero();
        first.accept(BatchSite.ended(
                second, new AttemptOutcome.Interrupted("broken off", false), BatchSite.text(second, 50, 2)));
        site.run(4000);
        site.kill(first);
        site.node("node-2");
        site.run(4000);
        assertThat(site.started.get(site.started.size() - 1).lastEventId()).isEqualTo(50);
    }

    @Test
    void anOverlappingPartIsJoinedWithoutDuplicateEvents() {
        StoredTexts texts = new StoredTexts();
        texts.add(0, beginning("item", 5));
        texts.add(1, continuation("item", 0, 3, 4));
        texts.add(2, continuation("item", 0, 1, 2));
        assertThat(texts.all()).containsOnly(Map.entry("item", List.of(text(0, 7))));
    }

    @Test
    void aPartAfterAGapIsNotJoined() {
        StoredTexts texts = new StoredTexts();
        texts.add(0, beginning("item", 5));
        texts.add(1, continuation("item", 0, 7, 5));
        assertThat(texts.all()).containsOnly(Map.entry("item", List.of(text(0, 5))));
        texts.add(2, continuation("item", 0, 5, 2));
        assertThat(texts.all()).containsOnly(Map.entry("item", List.of(text(0, 7))));
        texts.add(3, continuation("other", 0, 3, 2));
        assertThat(texts.all()).doesNotContainKey("other");
    }

    @Test
    void aPartIsJoinedOnlyToTheTextThatItContinues() {
        StoredTexts texts = new StoredTexts();
        texts.add(0, beginning("item", 5));
        texts.add(3, beginning("item", 4));
        texts.add(4, continuation("item", 0, 5, 3));
        texts.add(5, continuation("item", 3, 4, 2));
        texts.add(6, continuation("item", 2, 5, 9));
        assertThat(texts.all()).containsOnly(Map.entry("item", List.of(text(0, 8), text(0, 6))));
    }

    @Test
    void aPartOfAnEarlierReleaseIsUsedOnlyIfItIsTheBeginningOfAText() {
        StoredTexts texts = new StoredTexts();
        texts.add(0, beginning("item", 5));
        texts.add(1, new TextPart("item", OptionalInt.empty(), 5, text(5, 4)));
        assertThat(texts.all()).containsOnly(Map.entry("item", List.of(text(0, 5))));
    }

    @Test
    void amongTextsOfEqualLengthTheLatestIsPreferred() {
        StoredTexts texts = new StoredTexts();
        texts.add(0, beginning("item", 2));
        ItemText later = new ItemText(2, List.of(event(1), Bytes.ofUtf8("other")), List.of(2L));
        texts.add(1, new TextPart("item", OptionalInt.empty(), 0, later));
        assertThat(texts.all()).containsOnly(Map.entry("item", List.of(later, text(0, 2))));
    }

    private static TextPart beginning(String item, int events) {
        return new TextPart(item, OptionalInt.empty(), 0, text(0, events));
    }

    private static TextPart continuation(String item, int beginning, long after, int events) {
        return new TextPart(item, OptionalInt.of(beginning), after, text(after, events));
    }

    private static void grow(TestNode node, BatchEffect.Run run, long after, int events) {
        node.accept(new BatchEvent.TextGrown(run.id(), run.item().id(), run.attempt(), after, text(after, events)));
    }

    private static ItemText text(long after, int count) {
        List<Bytes> events = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            events.add(event(after + i));
        }
        return new ItemText(after + count, events, List.of(1L));
    }

    private static Bytes event(long id) {
        return Bytes.ofUtf8("e" + id);
    }
}
