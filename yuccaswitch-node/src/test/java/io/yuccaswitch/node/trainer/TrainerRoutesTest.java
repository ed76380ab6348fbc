package io.yuccaswitch.node.trainer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.yuccaswitch.core.configuration.EntrySettings;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.sample.FinishedGroup;
import io.yuccaswitch.core.sample.GroupKey;
import io.yuccaswitch.core.sample.PublicationEffect;
import io.yuccaswitch.core.sample.PullResult;
import io.yuccaswitch.core.sample.Sample;
import io.yuccaswitch.core.sample.SampleEffect;
import io.yuccaswitch.core.sample.SampleEvent;
import io.yuccaswitch.core.weight.WeightEvent;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class TrainerRoutesTest {

    private static final TrainerName TRAINER = new TrainerName("matcher");

    private final OkHttpClient client = new OkHttpClient();
    private final ObjectMapper mapper = new ObjectMapper();
    private DecisionLoop loop;
    private Javalin server;

    @BeforeEach
    void start() {
        loop = new DecisionLoop(new DecisionCore(List.of(TrainerRoutesTest::answer), 1), () -> {});
        TrainerRoutes routes = new TrainerRoutes(loop, () -> Optional.of(configuration()));
        loop.start();
        server = Javalin.create(config -> routes.register(config.routes)).start("127.0.0.1", 0);
    }

    @AfterEach
    void stop() {
        server.stop();
        loop.close();
    }

    @Test
    void aStoredPublicationIsAnswered() throws IOException {
        Answer answer = post("versions", "{\"version\":7,\"location\":\"matcher/7\"}", "secret");

        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body().path("version").asLong()).isEqualTo(7);
    }

    @Test
    void aPublicationOfAnOldVersionIsRefused() throws IOException {
        Answer answer = post("versions", "{\"version\":1,\"location\":\"matcher/1\"}", "secret");

        assertThat(answer.status()).isEqualTo(409);
        assertThat(answer.error("code")).isEqualTo("version-not-newer");
        assertThat(answer.error("ran")).isEqualTo("no");
    }

    @Test
    void aSubmissionReturnsAcceptedAndRefusedGroups() throws IOException {
        Answer answer = post(
                "groups",
                "{\"groups\":[{\"step\":3,\"group\":0,\"prompt\":\"p\",\"size\":8,\"maximumTokens\":512},"
                        + "{\"step\":3,\"group\":1,\"prompt\":\"p\",\"size\":8,\"maximumTokens\":512,"
                        + "\"priority\":\"batch\"}]}",
                "secret");

        assertThat(answer.body().path("accepted").toString()).isEqualTo("[{\"step\":3,\"group\":0}]");
        assertThat(answer.body().path("refused").toString())
                .isEqualTo("[{\"step\":3,\"group\":1,\"code\":\"groups-in-progress\",\"ran\":\"no\","
                        + "\"retryAfterMillis\":1000}]");
    }

    @Test
    void aPullReturnsSamplesWithTheirVersionsAndScores() throws IOException {
        Answer answer =
                post("pull", "{\"cursor\":\"c\",\"useVersion\":6,\"maximumGroups\":4,\"waitMillis\":10}", "secret");

        assertThat(answer.body().toString())
                .isEqualTo("{\"cursor\":\"next\",\"groups\":[{\"step\":3,\"group\":0,\"samples\":[{\"index\":0,"
                        + "\"text\":\"text\",\"tokens\":12,\"segments\":[{\"version\":5,\"tokens\":10},"
                        + "{\"version\":6,\"tokens\":2}],\"score\":0.5}]}],\"remaining\":2}");
    }

    @Test
    void aRefusedPullReportsWhenToRetry() throws IOException {
        Answer answer = post("pull", "{\"useVersion\":6,\"maximumGroups\":4,\"waitMillis\":10}", "secret");

        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.error("code")).isEqualTo("cursor-unknown");
        assertThat(answer.error("ran")).isEqualTo("no");
        assertThat(answer.error("retryAfterMillis")).isEqualTo("1000");
    }

    @Test
    void invalidTokensTrainersAndBodiesAreRefused() throws IOException {
        assertThat(post("pull", "{}", "wrong").status()).isEqualTo(401);
        assertThat(post("pull", "{}", "secret").status()).isEqualTo(400);
        assertThat(post("groups", "{\"groups\":[{\"step\":-1}]}", "secret").status())
                .isEqualTo(400);
        assertThat(post("groups", "{", "secret").error("code")).isEqualTo("bad-request");
        assertThat(request("/v1/trainers/other/pull", "{}", "secret").status()).isEqualTo(404);
    }

    private Answer post(String action, String body, String token) throws IOException {
        return request("/v1/trainers/" + TRAINER + "/" + action, body, token);
    }

    private Answer request(String path, String body, String token) throws IOException {
        Request request = new Request.Builder()
                .url("http://127.0.0.1:" + server.port() + path)
                .header("Authorization", "Bearer " + token)
                .post(RequestBody.create(body, MediaType.get("application/json")))
                .build();
        try (Response response = client.newCall(request).execute()) {
            return new Answer(response.code(), mapper.readTree(response.body().string()));
        }
    }

    private record Answer(int status, JsonNode body) {

        String error(String field) {
            return body.path("error").path(field).asText();
        }
    }

    private static void answer(Tick tick) {
        for (WeightEvent.Published event : tick.events(WeightEvent.Published.class)) {
            tick.emit(
                    event.version() > 1
                            ? new PublicationEffect.Safe(event.trainer(), event.version())
                            : new PublicationEffect.Refused(event.trainer(), event.version(), 6));
        }
        for (SampleEvent.Submitted event : tick.events(SampleEvent.Submitted.class)) {
            tick.emit(new SampleEffect.AnswerSubmission(
                    event.token(),
                    List.of(event.groups().get(0).key()),
                    List.of(new SampleEffect.RefusedGroup(
                            event.groups().get(1).key(),
                            "groups-in-progress",
                            true,
                            Optional.of(Duration.ofSeconds(1))))));
        }
        for (SampleEvent.PullRequested event : tick.events(SampleEvent.PullRequested.class)) {
            tick.emit(new SampleEffect.AnswerPull(
                    event.token(),
                    event.cursor().isPresent()
                            ? new PullResult.HandedOver("next", List.of(group()), 2)
                            : new PullResult.Refused("cursor-unknown", "why", Optional.of(Duration.ofSeconds(1)))));
        }
    }

    private static FinishedGroup group() {
        List<Generation.Segment> segments = List.of(new Generation.Segment(5, 10), new Generation.Segment(6, 2));
        return new FinishedGroup(new GroupKey(TRAINER, 3, 0), 1, List.of(new Sample(0, "text", segments, 0.5, true)));
    }

    private static FleetConfiguration configuration() {
        TrainerSettings trainer = new TrainerSettings(
                new PoolName("engines"), "model", Optional.of("secret"), 1, 1, Optional.empty(), true, 16);
        return new FleetConfiguration(
                "test",
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(TRAINER, trainer),
                Optional.empty(),
                new EntrySettings(Duration.ofSeconds(10), Duration.ofMinutes(2), 1 << 22),
                new MembershipSettings(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(10)),
                new LeaseSettings(Duration.ofSeconds(10), Duration.ofSeconds(2)));
    }
}
