import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Callers keep five engines full, and a client ends small batch jobs while their items wait in the queues of four of them.
 * Later the engines are idle, a step runs at the fifth engine, and that engine is lost for good. The items of the step have
 * to go on at the four engines that are left.
 */
final class StuckTrial {
    private static final int GATEWAYS = 8;
    private static final int ENGINES = 5;
    private static final int SLOTS = 4;
    private static final int PLACES = 2;

    /** The callers of the plain route, and how long an engine works on each request of theirs. */
    private static final int CALLERS = 72;

    private static final int CALL_MILLIS = 2_000;

    /** The most jobs of one item that are submitted, and how long each may wait before it is ended. */
    private static final int MAXIMUM_JOBS = 20;

    private static final long JOB_MILLIS = 4_000;

    private static final int ITEMS = 8;
    private static final int ITEM_EVENTS = 24;
    private static final int EVENT_MILLIS = 100;

    /** When the engine is lost, after the submission of the step. */
    private static final long LOST_MILLIS = 1_000;

    /** When the trainer's deadline passes, after the submission. */
    private static final long DEADLINE_MILLIS = 12_000;

    /** The time after a disruption that is not steady state (contact-ms). */
    private static final long CONTACT_MILLIS = 3_000;

    /** How long an item may be at no engine in steady state. */
    private static final long IDLE_MILLIS = 5_000;

    private final Site site;
    private final List<FullEngine> engines = new ArrayList<>();
    private final AtomicBoolean calling = new AtomicBoolean(true);
    private final AtomicInteger calls = new AtomicInteger();
    private int jobs;

    private StuckTrial(Site site) {
        this.site = site;
    }

    public static void main(String[] arguments) {
        Site.main(arguments, (site, trouble) -> new StuckTrial(site).play(trouble));
    }

    private boolean play(boolean trouble) throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new FullEngine(site, "sampler", "m0", SLOTS, PLACES));
        }
        site.configure(
                3,
                List.of(
                        Site.rolloutRoute("roll", "sampler"),
                        Site.plainRoute("chat", "unsafe", "sampler", 5000, 3000)),
                List.of(Site.modelService("sampler", "m0")));
        for (int i = 1; i <= GATEWAYS; i++) {
            site.gateway("edge-semarang-" + i, 0.75);
        }
        Site.require(site.start(), "the gateways are not ready");
        // Without the busy engines (BUSY=0) the same loss is borne.
        if (!"0".equals(System.getenv("BUSY"))) {
            endJobsWhileEnginesAreFull();
        }
        awaitIdleEngines();
        return playStep(trouble);
    }

    private void endJobsWhileEnginesAreFull() throws Exception {
        for (int i = 0; i < CALLERS; i++) {
            Gateway gateway = site.gateways.get(i % GATEWAYS);
            Wire.thread("caller", () -> {
                while (calling.get()) {
                    String target = "/chat/x?ms=" + CALL_MILLIS;
                    String headers = Site.headers("c" + calls.incrementAndGet(), 5000);
                    if (Wire.call(gateway.entry(), "POST", target, headers, new byte[600], 6000).status() != 200) {
                        Thread.sleep(200);
                    }
                }
            });
        }
        Thread.sleep(2500);
        Set<String> ended = new LinkedHashSet<>();
        while (jobs < MAXIMUM_JOBS && ended.size() < ENGINES - 1) {
            String job = submit(1, 16, 80);
            long end = System.currentTimeMillis() + JOB_MILLIS;
            Optional<String> engine = Optional.empty();
            while (engine.isEmpty() && System.currentTimeMillis() < end) {
                Thread.sleep(20);
                engine = engineThatQueuesAfterRefusal(item(job, 0));
            }
            end(job);
            Thread.sleep(300);
            // An item that began before its job was ended is no such item.
            if (!has(item(job, 0), FullEngine.Stage.BEGAN)) {
                engine.ifPresent(ended::add);
            }
        }
        calling.set(false);
        site.record("jobs were ended while their items waited at " + ended);
        Site.require(ended.size() == ENGINES - 1, "too few jobs were ended while their items waited");
    }

    /** Returns the engine in whose queue an item waits, if that engine refused an item before and began none since. */
    private Optional<String> engineThatQueuesAfterRefusal(String item) {
        for (FullEngine engine : engines) {
            boolean refused = false;
            boolean waits = false;
            for (FullEngine.Change change : engine.changes()) {
                if (change.id().startsWith("c")) {
                    continue;
                }
                refused = change.stage() == FullEngine.Stage.REJECTED
                        || (refused && change.stage() != FullEngine.Stage.BEGAN);
                waits = change.stage() == FullEngine.Stage.QUEUED && change.id().equals(item);
            }
            if (refused && waits && engine.isFull()) {
                return Optional.of(engine.id);
            }
        }
        return Optional.empty();
    }

    private void awaitIdleEngines() throws Exception {
        long end = System.currentTimeMillis() + 10_000;
        while (engines.stream().anyMatch(engine -> engine.held() > 0) && System.currentTimeMillis() < end) {
            Thread.sleep(50);
        }
        Thread.sleep(1000);
    }

    private boolean playStep(boolean trouble) throws Exception {
        long submitted = System.currentTimeMillis();
        String step = submit(ITEMS, ITEM_EVENTS, EVENT_MILLIS);
        Thread.sleep(submitted + LOST_MILLIS - System.currentTimeMillis());
        long lostAt = System.currentTimeMillis();
        FullEngine used =
                engines.stream().max(Comparator.comparingInt(FullEngine::held)).orElseThrow();
        site.record("the engines hold " + held());
        if (trouble) {
            site.record("engine " + used.id + " is lost for good");
            used.crash();
        }
        Thread.sleep(submitted + DEADLINE_MILLIS - System.currentTimeMillis());
        long now = System.currentTimeMillis();
        site.record("the trainer's deadline passes; the engines hold " + held() + "; "
                + count(step, ITEMS, FullEngine.Stage.BEGAN) + " items of the step had begun, "
                + count(step, ITEMS, FullEngine.Stage.FINISHED) + " were finished");
        int idle = 0;
        for (int i = 0; i < ITEMS; i++) {
            long since = Math.max(lastAtEngine(item(step, i), now), lostAt + CONTACT_MILLIS);
            if (!has(item(step, i), FullEngine.Stage.FINISHED) && now - since >= IDLE_MILLIS) {
                idle++;
                site.record("item " + item(step, i) + " has been at no engine for " + (now - since) + " ms of steady state");
            }
        }
        end(step);
        int slots = engines.stream().filter(engine -> !trouble || engine != used).mapToInt(engine -> engine.slots).sum();
        int running = engines.stream().mapToInt(FullEngine::held).sum();
        if (idle > 0) {
            String next = submit(SLOTS, ITEM_EVENTS, EVENT_MILLIS);
            Thread.sleep(IDLE_MILLIS);
            site.record("of the " + SLOTS + " items of the next step " + count(next, SLOTS, FullEngine.Stage.BEGAN)
                    + " began within " + IDLE_MILLIS + " ms; the engines hold " + held());
            end(next);
        }
        return idle == 0 || count(step, ITEMS, FullEngine.Stage.BEGAN) == 0 || 2 * running >= slots;
    }

    /** Returns when an item was last at an engine. */
    private long lastAtEngine(String item, long now) {
        long last = 0;
        for (FullEngine engine : engines) {
            FullEngine.Stage stage = FullEngine.Stage.REJECTED;
            for (FullEngine.Change change : engine.changes()) {
                if (change.id().equals(item)) {
                    stage = change.stage();
                    last = stage == FullEngine.Stage.REJECTED ? last : Math.max(last, change.at());
                }
            }
            boolean isThere = stage == FullEngine.Stage.QUEUED || stage == FullEngine.Stage.BEGAN;
            last = isThere ? now : last;
        }
        return last;
    }

    private boolean has(String item, FullEngine.Stage stage) {
        return engines.stream()
                .flatMap(engine -> engine.changes().stream())
                .anyMatch(change -> change.id().equals(item) && change.stage() == stage);
    }

    private long count(String job, int items, FullEngine.Stage stage) {
        return IntStream.range(0, items).filter(i -> has(item(job, i), stage)).count();
    }

    private String held() {
        return engines.stream()
                .map(engine -> engine.held() + " of " + engine.slots)
                .collect(Collectors.joining(", "));
    }

    private static String item(String job, int number) {
        return job + String.format("%04x", number);
    }

    /** Submits a batch job at the first gateway. */
    private String submit(int items, int events, int millis) {
        String id = String.format("a%02x", jobs++);
        String body = Base64.getEncoder()
                .encodeToString(Json.write(Json.map("events", events, "millis", millis))
                        .getBytes(StandardCharsets.UTF_8));
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            list.add(Json.map(
                    "id", item(id, i),
                    "path", "/roll/x" + i,
                    "headers", Json.map("X-Model", "m0", "X-Token-Counts", "271,369"),
                    "body", body,
                    "tokens", 640,
                    "group", "g" + id + i / 2));
        }
        byte[] job = Json.write(Json.map(
                        "step", 0, "model", "m0", "min-version", 0, "desired", (items + 1) / 2, "items", list))
                .getBytes(StandardCharsets.UTF_8);
        Wire.Outcome outcome = Wire.call(
                site.gateways.get(0).entry(),
                "POST",
                "/roll/j",
                Site.headers(id, 4000) + "Content-Type: application/json\r\n",
                job,
                4000);
        site.record("job " + id + " of " + items + " items is submitted: " + outcome);
        Site.require(outcome.status() == 202, "not accepted");
        return id;
    }

    private void end(String job) {
        Wire.Outcome outcome = Wire.call(
                site.gateways.get(0).entry(), "DELETE", "/v1/lots/" + job, Site.headers("e" + job, 4000), new byte[0], 4000);
        site.record("job " + job + " is ended: " + outcome);
    }
}
