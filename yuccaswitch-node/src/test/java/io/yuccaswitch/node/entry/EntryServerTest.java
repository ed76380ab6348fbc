package io.yuccaswitch.node.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.endpoint.EndpointCondition;
import io.yuccaswitch.core.endpoint.EndpointView;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.quarantine.Quarantine;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.RequestSystem;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.node.HostAndPort;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.settings.FleetConfigurationCodec;
import io.yuccaswitch.settings.SettingsResult;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the entry over HTTP with the real decision core. The tests act as the endpoints. */
class EntryServerTest {

    private static final String CONFIGURATION =
            """
            {"site":"test",
             "availabilityZones":{"z0":{},"z1":{}},
             "callers":{"desk":{"token":"secret","priority":"urgent"}},
             "entry":{"maximumBodyBytes":1024},
             "pools":{
              "matcher-lm":{"kind":"engine","endpoints":{"e0":{"address":"h:1","availabilityZone":"z0"},
                                                          "e1":{"address":"h:2","availabilityZone":"z1"}}},
              "ledger-app":{"kind":"service","endpoints":{"s0":{"address":"h:3","availabilityZone":"z0"}}}}}
            """;
    private static final NodeIdentity SELF = new NodeIdentity(new NodeName("vm-1"), 3);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final FleetConfiguration configuration = configuration();
    private final BlockingQueue<RequestEffect.Send> sentAttempts = new LinkedBlockingQueue<>();
    private final BlockingQueue<RequestEffect.CancelAttempt> cancelledAttempts = new LinkedBlockingQueue<>();
    private final OkHttpClient client = new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .readTimeout(20, TimeUnit.SECONDS)
            .build();
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private final Site site = new Site();
    private final RequestClock clock = new RequestClock(DecisionLoop.now(), System.currentTimeMillis());
    private final DecisionLoop loop = new DecisionLoop(
            new DecisionCore(
                    List.of(new RequestSystem(site, site, clock, new PlatformTokens(), Quarantine.NoOp.INSTANCE)), 7),
            () -> {});
    private final EntryServer server =
            new EntryServer(loop, site, () -> SELF, clock, () -> Optional.of(configuration), List.of());

    private static FleetConfiguration configuration() {
        SettingsResult<FleetConfiguration> decoded = FleetConfigurationCodec.decode(Bytes.ofUtf8(CONFIGURATION));
        return decoded.value().orElseThrow(() -> new IllegalStateException(decoded.toString()));
    }

    @BeforeEach
    void start() {
        subscriptions.add(loop.effects(RequestEffect.Send.class).subscribe(sentAttempts::add));
        subscriptions.add(loop.effects(RequestEffect.CancelAttempt.class).subscribe(cancelledAttempts::add));
        loop.start();
        loop.accept(new ConfigurationEvent.Activated(1, configuration));
        server.start(HostAndPort.parse("127.0.0.1:0"));
    }

    @AfterEach
    void stop() {
        server.close();
        loop.close();
        subscriptions.dispose();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private Request.Builder request(String path) {
        return new Request.Builder()
                .url("http://127.0.0.1:" + server.port() + path)
                .header("Authorization", "Bearer secret");
    }

    private static RequestBody json(String body) {
        return RequestBody.create(body, MediaType.get("application/json"));
    }

    private CompletableFuture<Response> call(Request request) {
        return start(client.newCall(request));
    }

    private static CompletableFuture<Response> start(Call call) {
        CompletableFuture<Response> response = new CompletableFuture<>();
        call.enqueue(new Callback() {
            @Override
            public void onFailure(Call _call, IOException exception) {
                response.completeExceptionally(exception);
            }

            @Override
            public void onResponse(Call _call, Response answer) {
                response.complete(answer);
            }
        });
        return response;
    }

    private RequestEffect.Send nextAttempt() throws InterruptedException {
        RequestEffect.Send send = sentAttempts.poll(20, TimeUnit.SECONDS);
        assertThat(send).isNotNull();
        return send;
    }

    private void endAttempt(RequestEffect.Send send, AttemptResult result) {
        loop.accept(new RequestEvent.AttemptEnded(send.id(), send.attempt(), send.endpoint(), result));
    }

    private void answer(RequestEffect.Send send, int status, String text) {
        endAttempt(send, new AttemptResult.Complete(status, "text/plain", Bytes.ofUtf8(text), Optional.empty()));
    }

    private static Generation generation(String text, int tokens, String finishReason) {
        return new Generation(text, List.of(new Generation.Segment(7, tokens)), finishReason);
    }

    private static JsonNode document(Response response) throws IOException {
        return MAPPER.readTree(response.body().bytes());
    }

    @Test
    void aPostIsForwardedAndItsAnswerCarriesItsId() throws Exception {
        CompletableFuture<Response> response = call(request("/services/ledger-app/post/a%20b?x=1&y=%2F")
                .header("X-Request-Id", "vm-1@3/own")
                .post(json("{\"amount\":1}"))
                .build());
        RequestEffect.Send send = nextAttempt();
        assertThat(send.request().path()).isEqualTo("/post/a%20b?x=1&y=%2F");
        assertThat(send.request().idempotent()).isFalse();
        assertThat(send.request().body().toUtf8()).isEqualTo("{\"amount\":1}");
        answer(send, 201, "posted");

        assertThat(response.get().code()).isEqualTo(201);
        assertThat(response.get().header("X-Request-Id")).isEqualTo("vm-1@3/own");
        assertThat(response.get().body().string()).isEqualTo("posted");
    }

    @Test
    void theHomeOfAGeneratedIdIsTheNode() throws Exception {
        CompletableFuture<Response> response =
                call(request("/services/ledger-app/post").post(json("{}")).build());
        RequestEffect.Send send = nextAttempt();
        answer(send, 200, "posted");

        assertThat(send.id().home()).contains(SELF);
        assertThat(response.get().header("X-Request-Id")).isEqualTo(send.id().value());
    }

    @Test
    void concurrentRequestsWithTheSameIdRunOnceAndAnotherBodyIsRefused() throws Exception {
        Request post = request("/services/ledger-app/post")
                .header("X-Request-Id", "vm-1@3/own")
                .post(json("{}"))
                .build();
        CompletableFuture<Response> first = call(post);
        RequestEffect.Send send = nextAttempt();
        CompletableFuture<Response> second = call(post);
        Response conflicting =
                call(post.newBuilder().post(json("{\"other\":1}")).build()).get();
        assertThat(conflicting.code()).isEqualTo(409);
        answer(send, 200, "posted");

        assertThat(first.get().body().string()).isEqualTo("posted");
        assertThat(second.get().body().string()).isEqualTo("posted");
        assertThat(sentAttempts).isEmpty();
    }

    @Test
    void aRefusalReportsThatTheRequestDidNotRunAndWhenToRetry() throws Exception {
        CompletableFuture<Response> response = call(request("/services/ledger-app/post")
                .header("X-Request-Id", "vm-1@3/own")
                .post(json("{}"))
                .build());
        for (int attempt = 0; attempt < 3; attempt++) {
            endAttempt(nextAttempt(), new AttemptResult.NotRun("connect-failed", false));
        }
        JsonNode error = document(response.get());

        assertThat(response.get().code()).isEqualTo(503);
        assertThat(response.get().header("Retry-After")).isEqualTo("1");
        assertThat(error.path("error").path("ran").asText()).isEqualTo("no");
        assertThat(error.path("error").path("retryAfterMillis").asLong()).isEqualTo(1000);
        assertThat(error.path("requestId").asText()).isEqualTo("vm-1@3/own");
    }

    @Test
    void aFailureAfterTheSendIsNeverReportedAsNotRun() throws Exception {
        CompletableFuture<Response> response =
                call(request("/services/ledger-app/post").post(json("{}")).build());
        endAttempt(nextAttempt(), new AttemptResult.MaybeRun("connection-lost", Optional.empty()));

        assertThat(response.get().code()).isEqualTo(502);
        assertThat(document(response.get()).path("error").path("ran").asText()).isEqualTo("unknown");
    }

    @Test
    void invalidRequestsAreRefusedBeforeTheyReachTheCore() throws Exception {
        assertThat(code(new Request.Builder()
                        .url("http://127.0.0.1:" + server.port() + "/services/ledger-app/post")
                        .build()))
                .isEqualTo(401);
        assertThat(code(request("/services/ledger-app/post")
                        .post(json("x".repeat(2000)))
                        .build()))
                .isEqualTo(413);
        assertThat(code(request("/services/nowhere/post").build())).isEqualTo(404);
        assertThat(code(request("/services/ledger-app/a")
                        .header("X-Deadline-Millis", "-1")
                        .build()))
                .isEqualTo(400);
        assertThat(code(request("/v1/completions").post(json("[]")).build())).isEqualTo(400);
        assertThat(sentAttempts).isEmpty();
    }

    /** Reads an answer to its end, as a connection with unread data must not be reused for another call. */
    private int code(Request request) throws Exception {
        try (Response response = call(request).get()) {
            response.body().bytes();
            return response.code();
        }
    }

    @Test
    void aStreamResumesAtAnotherEngineWithoutRepeatedOrMissingTokens() throws Exception {
        CompletableFuture<Response> response = call(request("/v1/completions")
                .post(json("{\"model\":\"matcher-lm\",\"prompt\":\"hello\",\"stream\":true}"))
                .build());
        RequestEffect.Send first = nextAttempt();
        loop.accept(new RequestEvent.Progressed(first.id(), first.attempt(), generation("t0 t1 ", 2, "")));
        BufferedSource events = response.get().body().source();
        assertThat(text(events)).isEqualTo("t0 t1 ");
        endAttempt(first, new AttemptResult.MaybeRun("connection-lost", Optional.of(generation("t0 t1 t2 ", 3, ""))));
        RequestEffect.Send second = nextAttempt();
        assertThat(second.resumeFrom()).contains(generation("t0 t1 t2 ", 3, ""));
        endAttempt(
                second,
                new AttemptResult.Complete(200, "", Bytes.EMPTY, Optional.of(generation("t0 t1 t2 t3 ", 4, "stop"))));

        StringBuilder rest = new StringBuilder();
        String last = "";
        for (String line = events.readUtf8Line(); line != null; line = events.readUtf8Line()) {
            if (line.startsWith("data: {")) {
                rest.append(text(line));
            }
            last = line.isEmpty() ? last : line;
        }
        assertThat(rest.toString()).isEqualTo("t2 t3 ");
        assertThat(last).isEqualTo("data: [DONE]");
    }

    @Test
    void aFailedStreamIsNeverMarkedAsComplete() throws Exception {
        CompletableFuture<Response> response = call(request("/v1/completions")
                .header("X-Deadline-Millis", "1500")
                .post(json("{\"model\":\"matcher-lm\",\"prompt\":\"hello\",\"stream\":true}"))
                .build());
        RequestEffect.Send send = nextAttempt();
        loop.accept(new RequestEvent.Progressed(send.id(), send.attempt(), generation("t0 ", 1, "")));
        String events = response.get().body().string();

        assertThat(events).contains("deadline-exceeded").doesNotContain("[DONE]");
    }

    @Test
    void disconnectingFromAStreamCancelsTheAttempt() throws Exception {
        Call call = client.newCall(request("/v1/completions")
                .post(json("{\"model\":\"matcher-lm\",\"prompt\":\"hello\",\"stream\":true}"))
                .build());
        CompletableFuture<Response> response = start(call);
        RequestEffect.Send send = nextAttempt();
        loop.accept(new RequestEvent.Progressed(send.id(), send.attempt(), generation("t0 ", 1, "")));
        response.get();
        call.cancel();
        StringBuilder text = new StringBuilder("t0 ");
        await().atMost(20, TimeUnit.SECONDS)
                .pollInterval(50, TimeUnit.MILLISECONDS)
                .until(() -> {
                    text.append("t ");
                    loop.accept(new RequestEvent.Progressed(
                            send.id(), send.attempt(), generation(text.toString(), text.length() / 2, "")));
                    return !cancelledAttempts.isEmpty();
                });
        assertThat(cancelledAttempts.peek().id()).isEqualTo(send.id());
    }

    @Test
    void entryAddressesListTheCallersZoneFirstAndOmitLeavingNodes() throws Exception {
        JsonNode document = document(
                call(request("/v1/entry-addresses?availabilityZone=z1").build()).get());

        assertThat(document.path("validForMillis").asLong()).isEqualTo(10_000);
        assertThat(document.path("addresses")).hasSize(2);
        JsonNode first = document.path("addresses").path(0);
        assertThat(first.path("node").asText()).isEqualTo("vm-2");
        assertThat(first.path("requestIdPrefix").asText())
                .startsWith("vm-2@5/w")
                .endsWith("-");
    }

    @Test
    void aLookupReturnsTheOutcomeOfARequest() throws Exception {
        CompletableFuture<Response> response = call(request("/services/ledger-app/post")
                .header("X-Request-Id", "vm-1@3/own")
                .post(json("{}"))
                .build());
        RequestEffect.Send send = nextAttempt();
        JsonNode running =
                document(call(request("/v1/requests/vm-1%403%2Fown").build()).get());
        assertThat(running.path("code").asText()).isEqualTo("in-progress");
        answer(send, 200, "posted");
        response.get();
        JsonNode done =
                document(call(request("/v1/requests/vm-1%403%2Fown").build()).get());

        assertThat(done.path("state").asText()).isEqualTo("answered");
        assertThat(done.path("body").asText()).isEqualTo("posted");
    }

    private static String text(BufferedSource events) throws IOException {
        for (String line = events.readUtf8Line(); line != null; line = events.readUtf8Line()) {
            if (line.startsWith("data: {")) {
                return text(line);
            }
        }
        return "";
    }

    private static String text(String line) throws IOException {
        return MAPPER.readTree(line.substring("data: ".length()))
                .path("choices")
                .path(0)
                .path("text")
                .asText();
    }

    /** The members and endpoints of the site. */
    private final class Site implements MembershipView, EndpointView {

        @Override
        public Member self() {
            return member(SELF, "z0", MemberCondition.ALIVE);
        }

        @Override
        public Collection<Member> working() {
            return List.of(
                            self(),
                            member(new NodeIdentity(new NodeName("vm-2"), 5), "z1", MemberCondition.ALIVE),
                            member(new NodeIdentity(new NodeName("vm-3"), 6), "z1", MemberCondition.LEAVING))
                    .stream()
                    .filter(Member::acceptsWork)
                    .toList();
        }

        @Override
        public Optional<Member> find(NodeName name) {
            return working().stream()
                    .filter(member -> member.identity().name().equals(name))
                    .findFirst();
        }

        private Member member(NodeIdentity identity, String zone, MemberCondition condition) {
            return new Member(
                    identity, new AvailabilityZone(zone), "local", "p:1", identity.name() + ":2", "o:3", condition);
        }

        @Override
        public List<Endpoint> candidates(PoolName pool) {
            return configuration.pools().get(pool).endpoints().entrySet().stream()
                    .map(entry -> new Endpoint(
                            new EndpointName(pool, entry.getKey()),
                            PoolKind.SERVICE,
                            entry.getValue().address(),
                            entry.getValue().availabilityZone(),
                            EndpointCondition.LIVE,
                            Optional.empty(),
                            Optional.empty(),
                            Map.of()))
                    .toList();
        }
    }
}
