package io.yuccaswitch.endpoint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.reactivex.rxjava3.subscribers.TestSubscriber;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.endpoint.PrefixHashes;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Generation.Segment;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.testkit.engine.EngineOptions;
import io.yuccaswitch.testkit.engine.EngineStandIn;
import io.yuccaswitch.testkit.engine.Prompt;
import io.yuccaswitch.testkit.engine.RunRecord;
import io.yuccaswitch.testkit.http.Fault;
import io.yuccaswitch.testkit.http.RawServer;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that generations are complete, correctly labelled, and resumable without repeated or missing tokens. */
final class GenerationTest {

    private static final Pattern TOKEN_PATTERN = Pattern.compile("t(\\d+)v(\\d+) ");
    private static final String LONG_GENERATION_BODY = "{\"prompt\":\"p\",\"max_tokens\":100000}";

    private final ClientFixture fixture = new ClientFixture();
    private final List<EngineStandIn> engines = new ArrayList<>();

    @AfterEach
    void close() {
        fixture.close();
        engines.forEach(EngineStandIn::close);
    }

    @Test
    void aGenerationIsCompleteAndLabelledAsTheEngineRecorded() {
        EngineStandIn engine = engine(0.05, 80);
        Generation generation = completeGeneration(fixture.generate(address(engine), "a", "{\"prompt\":\"p\"}"));
        assertThat(generation.finishReason()).isEqualTo("stop");
        assertLabels(generation);
        assertThat(record(engine).completed()).isTrue();
        assertThat(generation.segments()).isEqualTo(segments(record(engine)));
    }

    @Test
    void aStreamedGenerationIsReturnedAsOneAnswer() {
        AttemptResult result = fixture.generate(address(engine(0.05, 80)), "a", "{\"prompt\":\"p\",\"max_tokens\":2}");
        assertThat(result).isInstanceOfSatisfying(AttemptResult.Complete.class, answer -> {
            assertThat(answer.body().toUtf8()).contains("\"id\":\"a\"", "\"text\":\"t0v1 t1v1 \"", "\"length\"");
            assertThat(answer.contentType()).isEqualTo("application/json");
        });
    }

    @Test
    void aWeightSwapDuringAGenerationCreatesTwoSegments() throws Exception {
        EngineStandIn engine = engine(0.2, 600);
        TestSubscriber<RequestEvent> events = start(engine, "{\"prompt\":\"p\"}");
        awaitTokens(engine, 20);
        TestHttp.post(
                address(engine),
                "/orders",
                "{\"fencingNumber\":1,\"model\":\"base\",\"version\":2,\"location\":\"x\"}");
        Generation generation = completeGeneration(ClientFixture.result(events));
        assertThat(generation.segments()).extracting(Segment::version).containsExactly(1L, 2L);
        assertThat(generation.segments()).isEqualTo(segments(record(engine)));
        assertLabels(generation);
    }

    @Test
    void unreportedVersionsAreUnknown() {
        EngineStandIn engine = engine(0.05, 80);
        engine.faults().set(Fault.UNREPORTED_VERSIONS, 1);
        Generation generation = completeGeneration(fixture.generate(address(engine), "a", "{\"prompt\":\"p\"}"));
        assertThat(generation.segments()).singleElement().satisfies(segment -> assertThat(segment.version())
                .isEqualTo(Segment.UNKNOWN_VERSION));
        assertThat(generation.tokens()).isEqualTo(tokens(generation).size());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 200, 1111, 4000})
    void aGenerationResumesAtAnotherEngineWithoutRepeatedOrMissingTokens(int truncateAfterBytes) {
        EngineStandIn failingEngine = engine(0.05, 200);
        EngineStandIn otherEngine = engine(0.05, 200);
        failingEngine.faults().set(Fault.CUT_AFTER_BYTES, truncateAfterBytes);
        failingEngine.faults().set(Fault.CUT_ANSWERS, 1);
        AttemptResult first = fixture.generate(address(failingEngine), "a", "{\"prompt\":\"p\"}");
        assertThat(first).isInstanceOf(AttemptResult.MaybeRun.class);
        Optional<Generation> partial = ((AttemptResult.MaybeRun) first).partial();
        Generation resumed =
                completeGeneration(fixture.generate(address(otherEngine), "a", "{\"prompt\":\"p\"}", partial));
        Generation uninterrupted =
                completeGeneration(fixture.generate(address(otherEngine), "b", "{\"prompt\":\"p\"}"));
        assertThat(resumed).isEqualTo(uninterrupted);
        assertLabels(resumed);
        assertThat(partial.map(Generation::tokens).orElse(0))
                .isEqualTo(firstRecord(otherEngine).resumeTokens());
    }

    @Test
    void aCompleteTextWhoseEndWasLostIsFinishedByTheNextEngine() {
        EngineStandIn engine = engine(0.05, 80);
        Generation complete = completeGeneration(fixture.generate(address(engine), "a", "{\"prompt\":\"p\"}"));
        Generation unfinished = new Generation(complete.text(), complete.segments(), "");
        assertThat(completeGeneration(
                        fixture.generate(address(engine), "a", "{\"prompt\":\"p\"}", Optional.of(unfinished))))
                .isEqualTo(complete);
    }

    @Test
    void anEngineThatStopsLeavesAPartialGeneration() {
        EngineStandIn engine = engine(1, 400);
        TestSubscriber<RequestEvent> events = start(engine, "{\"prompt\":\"p\"}");
        awaitTokens(engine, 10);
        engine.close();
        assertThat(ClientFixture.result(events)).isInstanceOfSatisfying(AttemptResult.MaybeRun.class, lost -> {
            assertThat(lost.code()).isEqualTo(FailureCodes.CONNECTION_LOST);
            assertThat(lost.partial()).hasValueSatisfying(GenerationTest::assertLabels);
        });
    }

    @Test
    void progressIncludesTheResumedGeneration() {
        EngineStandIn engine = engine(1, 100);
        Generation before = new Generation("t0v1 t1v1 ", List.of(new Segment(1, 2)), "");
        TestSubscriber<RequestEvent> events = fixture.start(
                fixture.send(
                        address(engine),
                        ClientFixture.request("a", "/v1/completions", "{\"prompt\":\"p\",\"max_tokens\":40}"),
                        Duration.ofSeconds(20),
                        Optional.of(before)),
                PoolKind.ENGINE);
        ClientFixture.result(events);
        List<Generation> progress = events.values().stream()
                .filter(RequestEvent.Progressed.class::isInstance)
                .map(event -> ((RequestEvent.Progressed) event).partial())
                .toList();
        assertThat(progress).isNotEmpty().allSatisfy(GenerationTest::assertLabels);
        assertThat(progress).extracting(Generation::tokens).isSorted().allMatch(tokens -> tokens > 2);
    }

    @Test
    void aCancelledGenerationStopsAtTheEngine() {
        EngineStandIn engine = engine(0.2, 100_000);
        RequestEffect.Send send = fixture.send(
                address(engine),
                ClientFixture.request("vm-1@3/a", "/v1/completions", LONG_GENERATION_BODY),
                Duration.ofSeconds(20),
                Optional.empty());
        TestSubscriber<RequestEvent> events = fixture.start(send, PoolKind.ENGINE);
        awaitTokens(engine, 5);
        await().until(() -> events.values().stream().anyMatch(RequestEvent.Progressed.class::isInstance));
        fixture.client.cancel(send.id(), send.attempt());
        assertThat(ClientFixture.result(events)).isInstanceOfSatisfying(AttemptResult.MaybeRun.class, ended -> {
            assertThat(ended.code()).isEqualTo(FailureCodes.CANCELLED);
            assertThat(ended.partial()).isPresent();
        });
        await().until(() -> record(engine).endMillis() > 0);
        assertThat(record(engine).completed()).isFalse();
    }

    @Test
    void aQueuedGenerationIsCancelledAtTheEngineBeforeItStarts() {
        EngineOptions options = options(1, 100_000);
        options.capacity = 1;
        EngineStandIn engine = engine(options);
        start(engine, LONG_GENERATION_BODY);
        awaitTokens(engine, 1);
        RequestEffect.Send send = fixture.send(
                address(engine),
                ClientFixture.request("b", "/v1/completions", LONG_GENERATION_BODY),
                Duration.ofSeconds(20),
                Optional.empty());
        fixture.start(send, PoolKind.ENGINE);
        await().until(() -> TestHttp.get(address(engine), "/load").contains("\"waiting\":1"));
        fixture.client.cancel(send.id(), send.attempt());
        await().until(() -> TestHttp.get(address(engine), "/load").contains("\"waiting\":0"));
    }

    @Test
    void anAnswerThatIsNotStreamedIsParsed() throws IOException {
        try (RawServer server = new RawServer((_request, id, connection) -> RawServer.write(
                connection,
                RawServer.answer(
                        id,
                        "{\"id\":\"" + id + "\",\"choices\":[{\"text\":\"ab\",\"finish_reason\":\"stop\"}],"
                                + "\"segments\":[{\"version\":4,\"tokens\":2}]}")))) {
            assertThat(completeGeneration(fixture.generate(server.address(), "a", "{}")))
                    .isEqualTo(new Generation("ab", List.of(new Segment(4, 2)), "stop"));
        }
    }

    @Test
    void aStreamWithoutItsEndIsIncomplete() throws IOException {
        assertThat(stream(event("x", 1, 4))).isEqualTo(connectionLost("x", 1, 4));
        assertThat(stream(event("x", 1, 4), "[DONE]")).isEqualTo(connectionLost("x", 1, 4));
        assertThat(stream(event("x", 1, 4), end("[]").replace("\"segments\":[],", "")))
                .isEqualTo(connectionLost("x", 1, 4));
    }

    @Test
    void aStreamWithInconsistentTokenCountsIsMalformed() throws IOException {
        assertThat(stream(event("x", 1, 4), end("[{\"version\":4,\"tokens\":2}]"), "[DONE]"))
                .isEqualTo(new AttemptResult.MaybeRun(FailureCodes.MALFORMED_ANSWER, Optional.empty()));
    }

    @Test
    void contradictoryVersionsAreUnknown() throws IOException {
        Generation generation =
                completeGeneration(stream(event("x", 2, 4), end("[{\"version\":5,\"tokens\":2}]"), "[DONE]"));
        assertThat(generation.segments()).containsExactly(new Segment(Segment.UNKNOWN_VERSION, 2));
    }

    @Test
    void anEventOfAnotherRequestMakesTheStreamUnusable() throws IOException {
        String foreign = event("y", 1, 4).replace("REQUEST", "other");
        assertThat(stream(event("x", 1, 4), foreign, end("[{\"version\":4,\"tokens\":2}]"), "[DONE]"))
                .isEqualTo(new AttemptResult.MaybeRun(FailureCodes.CROSSED_ANSWER, Optional.empty()));
    }

    @Test
    void anEventThatIsNotJsonMakesTheStreamUnusable() throws IOException {
        assertThat(stream("{oops", "[DONE]"))
                .isEqualTo(new AttemptResult.MaybeRun(FailureCodes.MALFORMED_ANSWER, Optional.empty()));
    }

    @Test
    void engineAndCoreComputeTheSamePrefixHashes() {
        String prompt = "prefix ".repeat(200);
        assertThat(new Prompt(prompt).prefixHashes())
                .isEqualTo(PrefixHashes.of(prompt))
                .hasSize(5);
    }

    private AttemptResult stream(String... events) throws IOException {
        try (RawServer server = new RawServer((_request, id, connection) -> {
            String[] own = java.util.Arrays.stream(events)
                    .map(event -> event.replace("REQUEST", id))
                    .toArray(String[]::new);
            RawServer.write(connection, RawServer.events(id, own));
        })) {
            return fixture.generate(server.address(), "a", "{}");
        }
    }

    private static String event(String text, int tokens, long version) {
        return "{\"id\":\"REQUEST\",\"choices\":[{\"text\":\"" + text + "\",\"finish_reason\":null}],\"tokens\":"
                + tokens + ",\"version\":" + version + "}";
    }

    private static String end(String segments) {
        return "{\"id\":\"REQUEST\",\"segments\":" + segments
                + ",\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}";
    }

    private static AttemptResult connectionLost(String text, int tokens, long version) {
        Generation partial = new Generation(text, List.of(new Segment(version, tokens)), "");
        return new AttemptResult.MaybeRun(FailureCodes.CONNECTION_LOST, Optional.of(partial));
    }

    private TestSubscriber<RequestEvent> start(EngineStandIn engine, String body) {
        return fixture.start(
                fixture.send(
                        address(engine),
                        ClientFixture.request("a", "/v1/completions", body),
                        Duration.ofSeconds(20),
                        Optional.empty()),
                PoolKind.ENGINE);
    }

    private EngineStandIn engine(double timeScale, int medianTokens) {
        return engine(options(timeScale, medianTokens));
    }

    private EngineStandIn engine(EngineOptions options) {
        EngineStandIn engine = new EngineStandIn(options);
        engines.add(engine);
        return engine;
    }

    private static EngineOptions options(double timeScale, int medianTokens) {
        EngineOptions options = new EngineOptions();
        options.timeScale = timeScale;
        options.medianTokens = medianTokens;
        options.stragglerShare = 0;
        options.reportLagMillis = 0;
        return options;
    }

    private static String address(EngineStandIn engine) {
        return engine.server().address();
    }

    private static void awaitTokens(EngineStandIn engine, int tokens) {
        await().until(() -> engine.records().stream()
                .flatMap(record -> record.segments().stream())
                .anyMatch(segment -> segment.tokens() >= tokens));
    }

    private static RunRecord record(EngineStandIn engine) {
        List<RunRecord> records = engine.records();
        return records.get(records.size() - 1);
    }

    private static RunRecord firstRecord(EngineStandIn engine) {
        return engine.records().get(0);
    }

    private static List<Segment> segments(RunRecord record) {
        return record.segments().stream()
                .map(segment -> new Segment(segment.version(), segment.tokens()))
                .toList();
    }

    private static Generation completeGeneration(AttemptResult result) {
        assertThat(result).isInstanceOf(AttemptResult.Complete.class);
        return ((AttemptResult.Complete) result).generation().orElseThrow();
    }

    /** Checks that no token is missing or repeated, and that each is labelled with the version written in it. */
    private static void assertLabels(Generation generation) {
        List<Segment> written = new ArrayList<>();
        List<long[]> tokens = tokens(generation);
        for (int index = 0; index < tokens.size(); index++) {
            assertThat(tokens.get(index)[0]).isEqualTo(index);
            written.add(new Segment(tokens.get(index)[1], 1));
        }
        List<Segment> labelled = new ArrayList<>();
        generation.segments().forEach(segment -> {
            for (int token = 0; token < segment.tokens(); token++) {
                labelled.add(new Segment(segment.version(), 1));
            }
        });
        assertThat(labelled).isEqualTo(written);
    }

    private static List<long[]> tokens(Generation generation) {
        List<long[]> tokens = new ArrayList<>();
        Matcher matcher = TOKEN_PATTERN.matcher(generation.text());
        int length = 0;
        while (matcher.find()) {
            tokens.add(new long[] {Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2))});
            length += matcher.end() - matcher.start();
        }
        assertThat(length)
                .as("the text consists of complete tokens")
                .isEqualTo(generation.text().length());
        return tokens;
    }
}
