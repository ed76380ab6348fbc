package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.batch.BatchItem;
import io.yuccaswitch.core.batch.BatchJob;
import io.yuccaswitch.core.batch.BatchJobId;
import io.yuccaswitch.core.batch.BatchResult;
import io.yuccaswitch.core.batch.ItemText;
import io.yuccaswitch.core.batch.ScoringRequest;
import io.yuccaswitch.core.batch.TextPart;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests that stored batch documents are read back as written. */
final class JsonBatchCodecTest {

    private final JsonBatchCodec codec = new JsonBatchCodec();

    @Test
    void jobKeepsScoringRequestsOfItsItems() {
        ScoringRequest scoring = new ScoringRequest("s1", "site.example", "/score/x?y=1", Bytes.ofUtf8("judge"));
        BatchJob job = job(
                List.of(item("a", Optional.of(scoring)), item("b", Optional.empty())),
                OptionalInt.empty(),
                BatchJob.UNKNOWN_CONFIGURATION);
        assertThat(codec.readJob(codec.writeJob(job))).contains(job);
    }

    @Test
    void jobKeepsTheConfigurationUnderWhichItWasAccepted() {
        BatchJob job = job(List.of(item("a", Optional.empty())), OptionalInt.of(1), 12);
        assertThat(codec.readJob(codec.writeJob(job))).contains(job);
    }

    @Test
    void readsJobOfEarlierReleaseWithoutItsConfiguration() {
        Bytes stored = Bytes.ofUtf8("{\"id\":\"job\",\"host\":\"site.example\",\"path\":\"/rollouts/x\","
                + "\"model\":\"m\",\"minimumVersion\":3,\"submittedAt\":1000,\"items\":[],\"wantedGroups\":0}");
        assertThat(codec.readJob(stored).orElseThrow().configurationVersion())
                .isEqualTo(BatchJob.UNKNOWN_CONFIGURATION);
    }

    @Test
    void resultsKeepTheirScores() {
        List<BatchResult> results = List.of(
                new BatchResult("a", true, Bytes.ofUtf8("x\ny"), List.of(1L, 2L), Optional.of("score")),
                new BatchResult("b", false, Bytes.EMPTY, List.of(), Optional.empty()));
        assertThat(codec.readResults(codec.writeResults(results))).contains(results);
    }

    @Test
    void readsResultOfEarlierReleaseWithoutScore() {
        Bytes stored = Bytes.ofUtf8("{\"results\":[{\"item\":\"a\",\"completed\":true,\"text\":\"x\",\"bytes\":\"\","
                + "\"versions\":[1]}]}");
        assertThat(codec.readResults(stored).orElseThrow().get(0).score()).isEmpty();
    }

    @Test
    void textPartsKeepTextAndBinaryEvents() {
        Bytes binary = Bytes.wrap(new byte[] {(byte) 0xff, 0, 1});
        List<TextPart> parts = List.of(
                new TextPart(
                        "a",
                        OptionalInt.empty(),
                        0,
                        new ItemText(2, List.of(Bytes.ofUtf8("one"), binary), List.of(1L))),
                new TextPart("b", OptionalInt.of(3), 7, new ItemText(8, List.of(Bytes.EMPTY), List.of(1L, 2L))));
        assertThat(codec.readTexts(codec.writeTexts(parts))).contains(parts);
    }

    @Test
    void readsPartsOfTextsOfEarlierReleases() {
        Bytes earlier = Bytes.ofUtf8(
                "{\"texts\":[{\"item\":\"a\",\"after\":7,\"last\":8,\"events\":[\"tx\"],\"versions\":[1]}]}");
        assertThat(codec.readTexts(earlier))
                .contains(List.of(new TextPart(
                        "a", OptionalInt.empty(), 7, new ItemText(8, List.of(Bytes.ofUtf8("x")), List.of(1L)))));
    }

    @Test
    void ignoresInvalidDocuments() {
        assertThat(codec.readTexts(Bytes.ofUtf8("{"))).isEmpty();
        assertThat(codec.readJob(Bytes.ofUtf8("[]"))).isEmpty();
    }

    private static BatchJob job(List<BatchItem> items, OptionalInt wantedGroups, long configurationVersion) {
        return new BatchJob(
                new BatchJobId("job"),
                "site.example",
                "/rollouts/x",
                "m",
                3,
                1000,
                items,
                wantedGroups,
                configurationVersion);
    }

    private static BatchItem item(String id, Optional<ScoringRequest> scoring) {
        return new BatchItem(id, "/rollouts/x", Map.of("X-Model", "m"), Bytes.ofUtf8("body"), "g", 5, scoring);
    }
}
