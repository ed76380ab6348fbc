import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A step whose reward calls have no route for some seconds. Its results are judged by the rule MIXED: an item may be
 * listed as errored only for one of the reasons that the rule names.
 */
public final class DroppedScorerRoute {

    private static final String HOST = "lab.example";
    private static final double DROPPED_AT = 1;
    private static final double ADDED_AGAIN_AT = 9;
    private static final double GIVE_UP = 20;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder = Files.createTempDirectory("dropped-route");
    private final ObjectStore store = new ObjectStore();
    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<GatewayNode> gateways = new ArrayList<>();

    private DroppedScorerRoute() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        Clock.open(Path.of(arguments[0]));
        int exit = 2;
        DroppedScorerRoute run = new DroppedScorerRoute();
        try {
            exit = run.run();
        } catch (Exception exception) {
            Clock.record("the case could not run: " + exception);
        } finally {
            for (GatewayNode gateway : run.gateways) {
                gateway.close();
            }
        }
        Clock.record("exit " + exit);
        System.exit(exit);
    }

    private int run() throws Exception {
        for (int i = 1; i <= 2; i++) {
            engines.add(new ModelEngine("i-engine-" + i, "lm", 4, Clock::record));
            engines.add(new ModelEngine("i-app-" + i, "app", 4, Clock::record));
        }
        store.put("config", "main", configuration(7, true));
        heartbeat();
        gateways.add(new GatewayNode("edge-a-1", folder));
        gateways.add(new GatewayNode("edge-a-2", folder));
        List<String> seeds = gateways.stream().map(GatewayNode::peer).toList();
        for (GatewayNode gateway : gateways) {
            gateway.start(store.address(), seeds);
        }
        double limit = Clock.seconds() + 40;
        while (!areReady()) {
            if (Clock.seconds() > limit) {
                Clock.record("the gateways did not become ready");
                return 2;
            }
            Thread.sleep(100);
        }
        Clock.record("all gateways are ready");
        Thread.sleep(1000);
        return judgedStep();
    }

    private int judgedStep() throws Exception {
        String id = "lot1";
        ObjectNode job = Wire.JSON.createObjectNode();
        job.put("step", 0).put("model", "m").put("min-version", 1).put("desired", 2);
        ArrayNode items = job.putArray("items");
        for (int i = 0; i < 4; i++) {
            ObjectNode item = items.addObject();
            item.put("id", "item" + i).put("path", "/rollouts/item" + i).put("tokens", 640).put("group", "g" + i / 2);
            item.put("body", base64("24 100"));
            item.putObject("headers").put("X-Model", "m").put("X-Token-Counts", "271,369");
            item.putObject("scorer").put("id", "score" + i).put("host", HOST).put("path", "/score/item" + i).put("body", base64("200"));
        }
        double submittedAt = Clock.seconds();
        Wire.Answer accepted = Wire.call(
                gateways.get(0).entry(),
                "POST",
                "/rollouts/" + id,
                Map.of("Host", HOST, "X-Request-Id", id, "Content-Type", "application/json"),
                Wire.JSON.writeValueAsBytes(job),
                5000);
        Clock.record("the step of 4 items with reward calls is submitted: " + accepted.status());
        if (accepted.status() != 202) {
            return 2;
        }
        Map<String, String> listed = new TreeMap<>();
        boolean dropped = false;
        boolean addedAgain = false;
        int position = 0;
        while (Clock.seconds() < submittedAt + GIVE_UP && listed.size() < 4) {
            double now = Clock.seconds() - submittedAt;
            if (trouble && !dropped && now >= DROPPED_AT) {
                dropped = true;
                store.put("config", "main", configuration(8, false));
                Clock.record("version 8 is accepted: the route of the reward calls is dropped");
            }
            if (dropped && !addedAgain && now >= ADDED_AGAIN_AT) {
                addedAgain = true;
                store.put("config", "main", configuration(9, true));
                Clock.record("version 9 is accepted: the route of the reward calls is there again");
            }
            try {
                Wire.Answer answer = Wire.call(
                        gateways.get(0).entry(),
                        "GET",
                        "/v1/lots/" + id + "?after=" + position,
                        Map.of("Host", HOST, "X-Wait-Ms", "300"),
                        new byte[0],
                        2000);
                JsonNode page = Wire.JSON.readTree(answer.body());
                for (JsonNode result : page.path("results")) {
                    listed.put(result.path("id").asText(), result.path("state").asText());
                    Clock.record(String.format(
                            java.util.Locale.ROOT,
                            "listed %.1f s after the submission: %s",
                            Clock.seconds() - submittedAt,
                            result));
                }
                position = page.path("next").asInt(position);
            } catch (IOException exception) {
                Clock.record("reading: " + exception);
            }
            Thread.sleep(200);
        }
        if (listed.size() < 4) {
            Clock.record("the step was not listed whole");
        }
        boolean broken = listed.containsValue("errored");
        Clock.record(broken
                ? "MIXED is broken: errored without a 422 or a 500, before queue-ttl-s, and neither the batch job nor its route has ended"
                : "MIXED holds");
        return broken ? 1 : 0;
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.US_ASCII));
    }

    private boolean areReady() throws IOException {
        for (GatewayNode gateway : gateways) {
            if (!gateway.isReady() || !gateway.knows(gateways.size())) {
                return false;
            }
        }
        return true;
    }

    private void heartbeat() {
        engines.forEach(engine -> store.put("servers", engine.id, engine.entry()));
        Wire.daemon(() -> {
            for (int sequence = 1; ; sequence++) {
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException exception) {
                    return;
                }
                for (ModelEngine engine : engines) {
                    store.put("servers", engine.id, engine.entry().put("seq", sequence));
                }
            }
        });
    }

    private static JsonNode configuration(int version, boolean scored) throws IOException {
        String score = "{\"name\":\"score\",\"host\":\"" + HOST + "\",\"path-prefix\":\"/score/\",\"kind\":\"safe\","
                + "\"timeout-ms\":3000,\"latency-target-ms\":800,\"priority\":2,\"service\":\"app\",\"max-attempts\":4},";
        return Wire.JSON.readTree("{\"version\":" + version + ",\"routes\":[" + (scored ? score : "")
                + "{\"name\":\"rollouts\",\"host\":\"" + HOST + "\",\"path-prefix\":\"/rollouts/\",\"kind\":\"rollout\","
                + "\"timeout-ms\":10000,\"latency-target-ms\":500,\"priority\":1,\"service\":\"lm\",\"max-attempts\":3,"
                + "\"queue-ttl-s\":40.0,\"result-deadline-ms\":7500,\"single-version\":false,\"sticky\":true,"
                + "\"resumable\":true}],"
                + "\"services\":[{\"name\":\"lm\",\"health-path\":\"/health\",\"max-conns\":150,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":4,\"kv-capacity\":89600,\"stride\":52,"
                + "\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"app\",\"health-path\":\"/health\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000}}");
    }
}
