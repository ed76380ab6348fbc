package io.yuccaswitch.testkit.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the batching, queueing and caching of the engine stand-in. */
final class EngineStandInTest {

    private static final int ENDLESS_TOKENS = 1_000_000;
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    @Test
    void aSmallShareOfPromptsGeneratesTenToThirtyTimesTheMedian() {
        LengthDistribution lengths = new LengthDistribution(1, 100, 0.02);
        List<Integer> drawn = IntStream.range(0, 20_000)
                .mapToObj(hash -> lengths.tokens(hash, 0))
                .sorted()
                .toList();
        assertThat(drawn.get(10_000)).isBetween(90, 115);
        assertThat(drawn.stream().filter(tokens -> tokens > 175).toList())
                .hasSizeBetween(320, 480)
                .allMatch(tokens -> tokens >= 1000 && tokens <= 3000);
        assertThat(lengths.tokens(5, 0)).isEqualTo(new LengthDistribution(1, 100, 0.02).tokens(5, 0));
        assertThat(IntStream.range(0, 8)
                        .map(seed -> lengths.tokens(5, seed))
                        .distinct()
                        .count())
                .isGreaterThan(4);
    }

    @Test
    void anUrgentRequestOvertakesWaitingRequests() throws Exception {
        EngineOptions options = options();
        options.capacity = 1;
        try (EngineStandIn engine = new EngineStandIn(options)) {
            CompletableFuture<String> first = complete(engine, "first", "normal", ENDLESS_TOKENS);
            await().until(() -> get(engine, "/load").contains("\"active\":1"));
            CompletableFuture<String> batch = complete(engine, "batch", "batch", 1);
            await().until(() -> get(engine, "/load").contains("\"waiting\":1"));
            CompletableFuture<String> urgent = complete(engine, "urgent", "urgent", 1);
            await().until(() -> get(engine, "/load").contains("\"waiting\":2"));
            cancel(engine, "first");
            CompletableFuture.allOf(batch, urgent).get();
            assertThat(first).isNotNull();
            assertThat(record(engine, "urgent").endMillis())
                    .isLessThanOrEqualTo(record(engine, "batch").endMillis());
            assertThat(record(engine, "first").completed()).isFalse();
        }
    }

    @Test
    void aFullQueueRefusesWithoutRunning() throws Exception {
        EngineOptions options = options();
        options.capacity = 1;
        options.queueLength = 1;
        try (EngineStandIn engine = new EngineStandIn(options)) {
            CompletableFuture<String> first = complete(engine, "first", "normal", ENDLESS_TOKENS);
            await().until(() -> get(engine, "/load").contains("\"active\":1"));
            CompletableFuture<String> second = complete(engine, "second", "normal", 1);
            await().until(() -> get(engine, "/load").contains("\"waiting\":1"));
            assertThat(complete(engine, "third", "normal", 1).get()).contains("overloaded", "\"ran\":\"no\"");
            cancel(engine, "first");
            assertThat(second.get()).contains("t0v1");
            assertThat(first).isNotNull();
            assertThat(engine.records()).extracting(RunRecord::requestId).containsExactly("first", "second");
        }
    }

    @Test
    void theCacheRetainsTheLatestPrefixesAndPublishesItsEvictions() {
        EngineOptions options = options();
        options.cachedPrefixes = 2;
        options.cacheEventLoss = 0;
        PrefixCache cache = new PrefixCache(options);
        assertThat(cache.use(new Prompt("a".repeat(512)))).isZero();
        assertThat(cache.use(new Prompt("a".repeat(512)))).isEqualTo(128);
        cache.use(new Prompt("b".repeat(256)));
        assertThat(cache.eventsAfter(0))
                .extracting(PrefixCache.CacheEvent::cached)
                .containsExactly(true, true, true, false);
        assertThat(cache.use(new Prompt("a".repeat(512))))
                .as("the shorter prefix was evicted")
                .isZero();
    }

    private static EngineOptions options() {
        EngineOptions options = new EngineOptions();
        options.timeScale = 0.2;
        options.reportLagMillis = 0;
        options.medianTokens = ENDLESS_TOKENS;
        return options;
    }

    private static RunRecord record(EngineStandIn engine, String id) {
        return engine.records().stream()
                .filter(record -> record.requestId().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private static CompletableFuture<String> complete(EngineStandIn engine, String id, String priority, int tokens) {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + engine.server().address() + "/v1/completions"))
                .header("X-Request-Id", id)
                .header("X-Priority", priority)
                .POST(BodyPublishers.ofString("{\"prompt\":\"p\",\"max_tokens\":" + tokens + "}"))
                .build();
        return CLIENT.sendAsync(request, BodyHandlers.ofString()).thenApply(java.net.http.HttpResponse::body);
    }

    private static void cancel(EngineStandIn engine, String id) throws IOException, InterruptedException {
        URI uri = URI.create("http://" + engine.server().address() + "/v1/requests/" + id);
        CLIENT.send(HttpRequest.newBuilder(uri).DELETE().build(), BodyHandlers.discarding());
    }

    private static String get(EngineStandIn engine, String path) throws IOException, InterruptedException {
        URI uri = URI.create("http://" + engine.server().address() + path);
        return CLIENT.send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString())
                .body();
    }
}
