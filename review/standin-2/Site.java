import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A small site: the store, engines, and gateways as processes. It records what is sent, answered and run. */
final class Site {
    static final String HOST = "ficu95.example";

    final Path folder;
    final Store store;
    final String[] command;
    final List<Gateway> gateways = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    private final PrintWriter record;
    private final long began = System.currentTimeMillis();

    Site(Path caseFolder) throws Exception {
        folder = Files.createTempDirectory("case");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        command = Gateway.command();
        store = new Store();
    }

    synchronized void record(String line) {
        record.printf("%8.3f %s%n", (System.currentTimeMillis() - began) / 1000.0, line);
    }

    Engine engine(String service, String model, int slots) throws Exception {
        Engine engine = new Engine(this, service, model, slots);
        engines.add(engine);
        return engine;
    }

    Gateway gateway(String name, double cores, String... extra) throws Exception {
        Gateway gateway = new Gateway(this, name, cores, List.of(extra));
        gateways.add(gateway);
        return gateway;
    }

    /** Starts all gateways, and waits until each is ready and listed by all. */
    boolean start() throws Exception {
        List<String> seeds = gateways.stream().limit(3).map(Gateway::peer).toList();
        for (Gateway gateway : gateways) {
            gateway.start(seeds);
        }
        long end = System.currentTimeMillis() + 25_000;
        while (System.currentTimeMillis() < end) {
            boolean all = true;
            for (Gateway gateway : gateways) {
                all &= gateway.isReady() && resolve(gateway).size() == gateways.size();
            }
            if (all) {
                record("all gateways are ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Asks a gateway which addresses to use. */
    static List<Object> resolve(Gateway gateway) {
        Wire.Outcome outcome = Wire.call(
                gateway.directory(),
                "GET",
                "/v1/resolve?name=" + HOST + "&region=region&zone=zone-a",
                "Host: directory\r\n",
                new byte[0],
                1000);
        if (outcome.status() != 200) {
            return List.of();
        }
        return Json.list(Json.object(Json.read(outcome.answer().text())).get("addresses"));
    }

    /** Writes a configuration. */
    void configure(long version, List<Object> routes, List<Object> services) {
        store.put(
                "config",
                "main",
                Json.map(
                        "version", version,
                        "routes", routes,
                        "services", services,
                        "limits",
                                Json.map(
                                        "max-header-bytes", 16384,
                                        "max-body-bytes", 33554432,
                                        "header-timeout-ms", 3000,
                                        "idle-timeout-ms", 15000)));
        record("operator wrote configuration " + version);
    }

    static Map<String, Object> plainRoute(String name, String kind, String service, int timeout, int target) {
        return Json.map(
                "name", "r-" + name,
                "host", HOST,
                "path-prefix", "/" + name + "/",
                "kind", kind,
                "timeout-ms", timeout,
                "latency-target-ms", target,
                "priority", 2,
                "service", service,
                "max-attempts", 2);
    }

    static Map<String, Object> rolloutRoute(String name, String service) {
        return Json.map(
                "name", "r-" + name,
                "host", HOST,
                "path-prefix", "/" + name + "/",
                "kind", "rollout",
                "timeout-ms", 10000,
                "latency-target-ms", 400,
                "priority", 1,
                "service", service,
                "max-attempts", 3,
                "queue-ttl-s", 40.0,
                "result-deadline-ms", 7500,
                "single-version", false,
                "sticky", true,
                "resumable", true);
    }

    static Map<String, Object> plainService(String name) {
        return Json.map("name", name, "health-path", "/health", "max-conns", 110, "protocol", "h1", "tls", false);
    }

    static Map<String, Object> modelService(String name, String model) {
        Map<String, Object> service = plainService(name);
        service.put(
                "engine",
                Json.map(
                        "slots", 12,
                        "kv-capacity", 38812,
                        "kv-token-bytes", 35136,
                        "link-mbps", 5900000.0,
                        "moves", true,
                        "backups", true,
                        "stride", 58,
                        "most", 12,
                        "pin-ms", 4000.0,
                        "hold-ms", 2000.0,
                        "handle_s", 5.0,
                        "models", List.of(Json.map("name", model))));
        return service;
    }

    static String headers(String id, int timeout) {
        return "Host: " + HOST + "\r\nX-Request-Id: " + id + "\r\nX-Timeout-Ms: " + timeout + "\r\n";
    }

    /** Builds a batch job. */
    static byte[] job(String prefix, String path, String model, int items, int desired, int bodyBytes) {
        List<Object> list = new ArrayList<>();
        byte[] body = new byte[bodyBytes];
        for (int i = 0; i < items; i++) {
            list.add(Json.map(
                    "id", prefix + String.format("%04x", i),
                    "path", path + "x" + i,
                    "headers",
                            Json.map(
                                    "X-Model", model,
                                    "X-Token-Counts", "271,100",
                                    "X-Prompt-Prefix", "9c2e41:255,5d07b8" + i + ":16"),
                    "body", Base64.getEncoder().encodeToString(body),
                    "tokens", 371,
                    "group", "g" + prefix + i / 4));
        }
        return Json.write(Json.map("step", 0, "model", model, "min-version", 0, "desired", desired, "items", list))
                .getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    /** Ends all processes that were started. */
    void stop() throws Exception {
        for (Gateway gateway : gateways) {
            if (gateway.process != null) {
                gateway.process.destroyForcibly();
                gateway.process.waitFor(5, TimeUnit.SECONDS);
            }
        }
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            Files.createDirectories(Path.of(keep));
            for (Gateway gateway : gateways) {
                Files.copy(
                        gateway.log(),
                        Path.of(keep).resolve(gateway.name + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        try (var files = Files.walk(folder)) {
            for (Path path : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    /** What a case does. */
    interface Play {
        /** Returns whether the rule held. */
        boolean play(Site site, boolean trouble) throws Exception;
    }

    /** Plays a case and ends with its status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String[] arguments, Play play) {
        int status = 2;
        Site site = null;
        try {
            site = new Site(Path.of(arguments[0]));
            Site ended = site;
            Runtime.getRuntime().addShutdownHook(new Thread(() -> ended.gateways.stream()
                    .filter(gateway -> gateway.process != null)
                    .forEach(gateway -> gateway.process.destroyForcibly())));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            site.record("trouble " + (trouble ? "on" : "off"));
            boolean held = play.play(site, trouble);
            site.record(held ? "the rule held" : "the rule was broken");
            status = held ? 0 : 1;
        } catch (Exception | AssertionError exception) {
            exception.printStackTrace();
            if (site != null) {
                site.record("the case could not run: " + exception);
            }
        } finally {
            try {
                if (site != null) {
                    site.stop();
                }
            } catch (Exception exception) {
                exception.printStackTrace();
            }
        }
        System.out.println("status " + status);
        System.exit(status);
    }

    static void require(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }
}
