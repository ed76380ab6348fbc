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
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * Steps that end while the engines are full, and the loss of a gateway after that. A step is judged by the rule LOST:
 * it runs out of time while one of its items has been at no engine for 5 s of steady state.
 */
public final class StuckTrial {

    private static final String HOST = "lab.example";
    private static final int GATEWAYS = 8;
    private static final int ENGINES = 5;
    private static final int CALLERS = 72;
    private static final int MAXIMUM_CANCELLED_JOBS = 20;
    private static final double CANCEL_AFTER = 4;
    private static final double GIVE_UP = 12;
    private static final double CONTACT = 3;
    private static final double UNSERVED = 5;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final boolean busyBefore = !"0".equals(System.getenv("BUSY"));
    private final Path folder = Files.createTempDirectory("stuck-trial");
    private final ObjectStore store = new ObjectStore();
    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<GatewayNode> gateways = new ArrayList<>();
    private final AtomicBoolean chatting = new AtomicBoolean();
    private final AtomicInteger chats = new AtomicInteger();
    private volatile ModelEngine lost;
    private int steps;

    private StuckTrial() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        Clock.open(Path.of(arguments[0]));
        int exit = 2;
        StuckTrial trial = new StuckTrial();
        try {
            exit = trial.run();
        } catch (Exception exception) {
            Clock.record("the case could not run: " + exception);
        } finally {
            for (GatewayNode gateway : trial.gateways) {
                gateway.close();
            }
        }
        Clock.record("exit " + exit);
        System.exit(exit);
    }

    private int run() throws Exception {
        for (int i = 1; i <= ENGINES; i++) {
            engines.add(new ModelEngine("i-engine-" + i, "lm", 4, Clock::record));
        }
        store.put("config", "main", configuration());
        heartbeat();
        for (int i = 1; i <= GATEWAYS; i++) {
            gateways.add(new GatewayNode("edge-a-" + i, folder));
        }
        List<String> seeds = gateways.stream().limit(3).map(GatewayNode::peer).toList();
        for (GatewayNode gateway : gateways) {
            gateway.start(store.address(), seeds);
        }
        if (!await(40, this::areReady)) {
            Clock.record("the gateways did not become ready");
            return 2;
        }
        Clock.record("all gateways are ready");
        if (busyBefore && !cancelWhileBusy()) {
            Clock.record("too few jobs were ended while their item waited");
            return 2;
        }
        await(10, () -> engines.stream().allMatch(engine -> engine.load() == 0));
        Thread.sleep(1000);
        return judgedStep();
    }

    /**
     * Other callers keep the engines full. Jobs of one item wait for an engine, and their client ends each while its
     * item waits in the queue of an engine that had refused it before.
     */
    private boolean cancelWhileBusy() throws Exception {
        chatting.set(true);
        for (int client = 0; client < CALLERS; client++) {
            GatewayNode gateway = gateways.get(client % gateways.size());
            Wire.daemon(() -> chat(gateway));
        }
        Thread.sleep(2500);
        Set<String> refusedThenQueued = new TreeSet<>();
        for (int job = 0; job < MAXIMUM_CANCELLED_JOBS && refusedThenQueued.size() < ENGINES - 1; job++) {
            Step step = submit(gateways.get(0), 1, 1, 1, "16 80");
            String item = step.items.iterator().next();
            double end = Clock.seconds() + CANCEL_AFTER;
            await(CANCEL_AFTER, () -> waitingAfterRefusal(item).isPresent() || Clock.seconds() > end);
            waitingAfterRefusal(item).ifPresent(refusedThenQueued::add);
            end(gateways.get(0), step);
            Thread.sleep(300);
        }
        Clock.record("jobs were ended while their item waited at " + refusedThenQueued);
        chatting.set(false);
        return refusedThenQueued.size() == ENGINES - 1;
    }

    /**
     * Returns the engine at which an item waits in the queue, if that engine has refused an item before and has begun
     * none since.
     */
    private Optional<String> waitingAfterRefusal(String item) {
        for (ModelEngine engine : engines) {
            List<ModelEngine.Arrival> ofItems = engine.arrivals().stream()
                    .filter(arrival -> arrival.id().startsWith("s"))
                    .toList();
            boolean refused = false;
            for (ModelEngine.Arrival arrival : ofItems) {
                refused = arrival.outcome().equals("rejected as full") || refused && !arrival.outcome().equals("began");
            }
            boolean waits = !ofItems.isEmpty()
                    && ofItems.get(ofItems.size() - 1).outcome().equals("accepted")
                    && ofItems.get(ofItems.size() - 1).id().equals(item);
            if (waits && refused && engine.load() > engine.slots) {
                return Optional.of(engine.id);
            }
        }
        return Optional.empty();
    }

    private boolean areReady() throws IOException {
        for (GatewayNode gateway : gateways) {
            if (!gateway.isReady() || !gateway.knows(gateways.size())) {
                return false;
            }
        }
        return true;
    }

    private void chat(GatewayNode gateway) {
        while (chatting.get()) {
            String id = String.format("c%015x", chats.incrementAndGet());
            try {
                Wire.Answer answer = Wire.call(
                        gateway.entry(),
                        "POST",
                        "/chat/x",
                        Map.of("Host", HOST, "X-Request-Id", id, "X-Timeout-Ms", "5000", "X-Model", "m"),
                        "2000".getBytes(StandardCharsets.US_ASCII),
                        6000);
                if (answer.status() != 200) {
                    Thread.sleep(200);
                }
            } catch (IOException | InterruptedException exception) {
                Clock.record("chat " + id + ": " + exception);
            }
        }
    }

    /** A step at the first gateway, during which the engine that serves it is lost for good. */
    private int judgedStep() throws Exception {
        GatewayNode reader = gateways.get(0);
        Step step = submit(reader, 4, 2, 4, "24 100");
        Thread.sleep(1000);
        double lostAt = Clock.seconds();
        ModelEngine used = engines.stream()
                .max(java.util.Comparator.comparingInt(ModelEngine::load))
                .orElseThrow();
        Clock.record("engines hold " + loads());
        if (trouble) {
            Clock.record(used.id + " crashes and is lost for good");
            lost = used;
            used.crash();
            Wire.daemon(() -> expire(used));
        }
        while (Clock.seconds() < step.submittedAt + GIVE_UP && !step.isComplete()) {
            step.read(reader);
            Thread.sleep(500);
        }
        if (step.isComplete()) {
            Clock.record(String.format(Locale.ROOT, "the step is complete after %.1f s", Clock.seconds() - step.submittedAt));
            return 0;
        }
        double now = Clock.seconds();
        boolean broken = false;
        Set<String> begun = begun(step);
        Clock.record("the step ran out of time: " + step.listed.size() + " of " + step.items.size() + " items listed, "
                + begun.size() + " had begun; engines hold "
                + loads());
        for (String item : step.items) {
            if (step.listed.contains(item)) {
                continue;
            }
            double since = Math.max(lostAt + CONTACT, lastAtEngine(item, now));
            Clock.record(String.format(Locale.ROOT, "item %s is not listed, at no engine for %.1f s of steady state", item, now - since));
            broken |= now - since >= UNSERVED && !begun.isEmpty();
        }
        end(reader, step);
        Step next = submit(reader, 2, 2, 2, "24 100");
        Thread.sleep(5000);
        Clock.record("of the next step at the same gateway, " + begun(next).size() + " of " + next.items.size()
                + " items began in 5 s; engines hold " + loads());
        end(reader, next);
        Clock.record(broken ? "LOST is broken" : "LOST holds");
        return broken ? 1 : 0;
    }

    /** Removes the entry of an engine that no longer reports, after three heartbeat intervals. */
    private void expire(ModelEngine engine) {
        try {
            Thread.sleep(3600);
            store.remove("servers", engine.id);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private String loads() {
        return engines.stream().map(engine -> engine.load() + " of " + engine.slots).collect(Collectors.joining(", "));
    }

    /** Returns when an item was last at an engine, which is now if it still is there. */
    private double lastAtEngine(String item, double now) {
        double last = 0;
        for (ModelEngine engine : engines) {
            boolean there = false;
            for (ModelEngine.Arrival arrival : engine.arrivals()) {
                if (arrival.id().equals(item)) {
                    last = Math.max(last, arrival.at());
                    there = arrival.outcome().equals("accepted") || arrival.outcome().equals("began");
                }
            }
            last = there ? now : last;
        }
        return last;
    }

    private Set<String> begun(Step step) {
        return engines.stream()
                .flatMap(engine -> engine.arrivals().stream())
                .filter(arrival -> arrival.outcome().equals("began"))
                .map(ModelEngine.Arrival::id)
                .filter(step.items::contains)
                .collect(Collectors.toSet());
    }

    private Step submit(GatewayNode gateway, int groups, int size, int desired, String body) throws Exception {
        Step step = new Step(String.format("lot%013x", steps));
        ObjectNode job = Wire.JSON.createObjectNode();
        job.put("step", steps).put("model", "m").put("min-version", 1).put("desired", desired);
        ArrayNode items = job.putArray("items");
        for (int group = 0; group < groups; group++) {
            for (int member = 0; member < size; member++) {
                String id = String.format("s%02dg%02dm%d", steps, group, member);
                step.items.add(id);
                ObjectNode item = items.addObject();
                item.put("id", id).put("path", "/rollouts/" + id).put("tokens", 640).put("group", "s" + steps + "g" + group);
                item.put("body", Base64.getEncoder().encodeToString(body.getBytes(StandardCharsets.US_ASCII)));
                item.putObject("headers").put("X-Model", "m").put("X-Token-Counts", "271,369");
            }
        }
        steps++;
        step.submittedAt = Clock.seconds();
        Wire.Answer answer = Wire.call(
                gateway.entry(),
                "POST",
                "/rollouts/" + step.id,
                Map.of("Host", HOST, "X-Request-Id", step.id, "Content-Type", "application/json"),
                Wire.JSON.writeValueAsBytes(job),
                5000);
        Clock.record("step " + step.id + " of " + step.items.size() + " items is submitted at " + gateway.name + ": " + answer.status());
        if (answer.status() != 202) {
            throw new IOException("the step was not accepted");
        }
        return step;
    }

    private void end(GatewayNode gateway, Step step) throws IOException {
        Wire.Answer answer =
                Wire.call(gateway.entry(), "DELETE", "/v1/lots/" + step.id, Map.of("Host", HOST), new byte[0], 5000);
        Clock.record("step " + step.id + " is ended by its trainer: " + answer.status());
    }

    private void heartbeat() {
        engines.forEach(engine -> store.put("servers", engine.id, engine.entry()));
        Wire.daemon(() -> {
            int sequence = 0;
            while (true) {
                try {
                    Thread.sleep(1200);
                } catch (InterruptedException exception) {
                    return;
                }
                sequence++;
                for (ModelEngine engine : engines) {
                    if (engine == lost) {
                        continue;
                    }
                    store.put("servers", engine.id, engine.entry().put("seq", sequence));
                }
            }
        });
    }

    private static JsonNode configuration() throws IOException {
        return Wire.JSON.readTree("{\"version\":7,\"routes\":["
                + "{\"name\":\"chat\",\"host\":\"" + HOST + "\",\"path-prefix\":\"/chat/\",\"kind\":\"unsafe\","
                + "\"timeout-ms\":5000,\"latency-target-ms\":3000,\"priority\":2,\"service\":\"lm\",\"max-attempts\":1},"
                + "{\"name\":\"rollouts\",\"host\":\"" + HOST + "\",\"path-prefix\":\"/rollouts/\",\"kind\":\"rollout\","
                + "\"timeout-ms\":10000,\"latency-target-ms\":500,\"priority\":1,\"service\":\"lm\",\"max-attempts\":3,"
                + "\"queue-ttl-s\":40.0,\"result-deadline-ms\":7500,\"single-version\":false,\"sticky\":true,"
                + "\"resumable\":true}],"
                + "\"services\":[{\"name\":\"lm\",\"health-path\":\"/health\",\"max-conns\":150,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":4,\"kv-capacity\":38812,\"stride\":52,"
                + "\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000}}");
    }

    private interface Condition {
        boolean holds() throws Exception;
    }

    private static boolean await(double seconds, Condition condition) throws Exception {
        double end = Clock.seconds() + seconds;
        while (Clock.seconds() < end) {
            if (condition.holds()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** A step as its trainer sees it. */
    private static final class Step {
        private final String id;
        private final Set<String> items = new TreeSet<>();
        private final Set<String> listed = new TreeSet<>();
        private int position;
        private double submittedAt;

        private Step(String id) {
            this.id = id;
        }

        private boolean isComplete() {
            return listed.containsAll(items);
        }

        private void read(GatewayNode gateway) {
            try {
                Wire.Answer answer = Wire.call(
                        gateway.entry(),
                        "GET",
                        "/v1/lots/" + id + "?after=" + position,
                        Map.of("Host", HOST, "X-Wait-Ms", "500"),
                        new byte[0],
                        2000);
                if (answer.status() != 200) {
                    Clock.record("reading " + id + " after " + position + ": " + answer.status() + " " + answer.text());
                    return;
                }
                JsonNode page = Wire.JSON.readTree(answer.body());
                page.path("results").forEach(result -> {
                    listed.add(result.path("id").asText());
                    Clock.record("listed " + result.path("id").asText() + " " + result.path("state").asText());
                });
                position = page.path("next").asInt();
            } catch (IOException exception) {
                Clock.record("reading " + id + ": " + exception);
            }
        }
    }
}
