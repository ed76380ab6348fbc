package io.yuccaswitch.testkit.trainer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.ObservationLog;
import io.yuccaswitch.testkit.http.Json;
import io.yuccaswitch.testkit.http.StandInServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the trainer against a simulated system that can deliver invalid samples. */
final class TrainerCommandTest {

    @TempDir
    private Path folder;

    private final Set<JsonNode> pendingGroups = new HashSet<>();
    private final List<JsonNode> delivered = new ArrayList<>();
    private long staleness;
    private boolean deliversDuplicates;
    private boolean unlabelled;
    private boolean refusesNextPull = true;
    private StandInServer server;

    @BeforeEach
    void start() throws IOException {
        server = new StandInServer(0, routes -> {
            routes.get("/v1/entry-addresses", _context -> entryAddresses());
            routes.post(
                    "/v1/trainers/matcher/versions",
                    (context, answer) -> answer.json(200, Json.parse(context.bodyAsBytes())));
            routes.post(
                    "/v1/trainers/matcher/groups",
                    (context, answer) -> answer.json(200, accept(Json.parse(context.bodyAsBytes()))));
            routes.post("/v1/trainers/matcher/pull", (context, answer) -> {
                if (refusesNextPull) {
                    refusesNextPull = false;
                    answer.refuse(503, "keepers-unreachable");
                } else {
                    answer.json(200, deliver(Json.parse(context.bodyAsBytes())));
                }
            });
        });
        Files.writeString(folder.resolve("prompts"), "one\ntwo\n");
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @Test
    void aValidRunWritesItsReportAndRecords() throws IOException, InterruptedException {
        run();

        JsonNode report = Json.parse(Files.readAllBytes(folder.resolve("report")));
        assertThat(report.path("samples").asInt()).isEqualTo(12);
        assertThat(report.path("duplicates").asInt()).isZero();
        assertThat(report.path("failures").asInt()).isEqualTo(1);
        List<Observation> records = ObservationLog.read(folder.resolve("records"));
        assertThat(records)
                .filteredOn(record -> record instanceof Observation.SampleReceived)
                .hasSize(12);
        assertThat(records)
                .filteredOn(record -> record instanceof Observation.GroupAccepted)
                .hasSize(6);
    }

    @Test
    void aDuplicateSampleIsDetected() {
        deliversDuplicates = true;
        assertThatThrownBy(this::run).hasMessageContaining("\"duplicates\" : 2");
    }

    @Test
    void aSampleThatExceedsTheStalenessBoundIsDetected() {
        staleness = 2;
        assertThatThrownBy(this::run).hasMessageContaining("\"pastBound\" : 12");
    }

    @Test
    void aSampleWithoutVersionLabelIsDetected() {
        unlabelled = true;
        assertThatThrownBy(this::run).hasMessageContaining("\"unlabelled\" : 12");
    }

    private void run() throws IOException, InterruptedException {
        TrainerCommand command = new TrainerCommand();
        JCommander.newBuilder()
                .addObject(command)
                .build()
                .parse(
                        "--entry",
                        server.address(),
                        "--trainer",
                        "matcher",
                        "--prompts",
                        folder.resolve("prompts").toString(),
                        "--steps",
                        "3",
                        "--first-version",
                        "5",
                        "--groups",
                        "2",
                        "--group-size",
                        "2",
                        "--train-millis",
                        "1",
                        "--limit-seconds",
                        "20",
                        "--state",
                        folder.resolve("state").toString(),
                        "--records",
                        folder.resolve("records").toString(),
                        "--report",
                        folder.resolve("report").toString());
        command.run();
    }

    private Object entryAddresses() {
        ObjectNode body = Json.object().put("validForMillis", 10_000);
        body.putArray("addresses")
                .addObject()
                .put("address", server.address())
                .put("node", "vm-1")
                .put("availabilityZone", "zone-1")
                .put("requestIdPrefix", "vm-1@1/");
        return body;
    }

    private Object accept(JsonNode body) {
        ObjectNode answer = Json.object();
        ArrayNode accepted = answer.putArray("accepted");
        answer.putArray("refused");
        for (JsonNode group : body.path("groups")) {
            pendingGroups.add(group);
            accepted.addObject()
                    .put("step", group.path("step").asLong())
                    .put("group", group.path("group").asInt());
        }
        return answer;
    }

    private Object deliver(JsonNode pull) {
        ObjectNode answer = Json.object().put("cursor", "cursor").put("remaining", 0);
        ArrayNode groups = answer.putArray("groups");
        List<JsonNode> batch = pendingGroups.stream()
                .filter(group -> group.path("step").equals(pull.path("step")))
                .toList();
        pendingGroups.removeAll(batch);
        if (deliversDuplicates && delivered.size() == 2) {
            groups.add(group(delivered.get(0), pull.path("useVersion").asLong()));
        }
        delivered.addAll(batch);
        batch.forEach(group -> groups.add(group(group, pull.path("useVersion").asLong())));
        return answer;
    }

    private JsonNode group(JsonNode submitted, long useVersion) {
        ObjectNode group = Json.object()
                .put("step", submitted.path("step").asLong())
                .put("group", submitted.path("group").asInt());
        ArrayNode samples = group.putArray("samples");
        for (int index = 0; index < submitted.path("size").asInt(); index++) {
            ObjectNode sample =
                    samples.addObject().put("index", index).put("text", "text").put("tokens", 3);
            ObjectNode segment = sample.putArray("segments").addObject().put("tokens", 3);
            if (!unlabelled) {
                segment.put("version", useVersion - staleness);
            }
        }
        return group;
    }
}
