package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: a store, engines of a model pool and of a plain service, and gateways as processes. */
final class Site implements AutoCloseable {

    static final String HOST = "site.example";

    final Store store = new Store();
    final List<Engine> sampler = new ArrayList<>();
    final List<Engine> ledger = new ArrayList<>();
    final Gateways gateways;
    private final List<String> extraRoutes = new ArrayList<>();
    private long configuration;

    Site(Path checkout, Path folder) throws IOException {
        Files.createDirectories(folder);
        gateways = new Gateways(checkout, folder);
    }

    void engines(int samplers, int ledgers) throws IOException {
        for (int i = 1; i <= samplers; i++) {
            sampler.add(new Engine("i-sampler-" + i, "sampler", store, 12));
        }
        for (int i = 1; i <= ledgers; i++) {
            ledger.add(new Engine("i-ledger-" + i, "ledger", store, 6));
        }
    }

    /** Starts the given number of gateways in four zones, and waits until all are ready and know each other. */
    void start(int count) throws IOException, InterruptedException {
        configure();
        for (int i = 0; i < count; i++) {
            gateways.add("zone-" + "abcd".charAt(i % 4), store.address());
        }
        gateways.startAll();
        gateways.awaitReady(60);
        Thread.sleep(4000);
    }

    void addRoute(String name, String prefix, String service) throws IOException {
        extraRoutes.add(plainRoute(name, prefix, "safe", service));
        configure();
    }

    /** Writes the next version of the configuration. The store's answer is its acknowledgement. */
    void configure() throws IOException {
        configuration++;
        List<String> routes = new ArrayList<>();
        routes.add(plainRoute("r-post", "/post/", "safe", "ledger"));
        routes.add("{\"name\":\"r-rollout\",\"host\":\"" + HOST + "\",\"path-prefix\":\"/rollouts/\","
                + "\"kind\":\"rollout\",\"timeout-ms\":10000,\"latency-target-ms\":400,\"priority\":1,"
                + "\"service\":\"sampler\",\"max-attempts\":3,\"queue-ttl-s\":40.0,\"result-deadline-ms\":7500,"
                + "\"single-version\":false,\"sticky\":true,\"resumable\":true}");
        routes.addAll(extraRoutes);
        String document = "{\"version\":" + configuration + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"sampler\",\"health-path\":\"/health\",\"max-conns\":160,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,\"kv-capacity\":38812,"
                + "\"stride\":58,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"ledger\",\"health-path\":\"/health\","
                + "\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
                + "\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
        store.put("config", "main", Store.MAPPER.readTree(document));
        Record.write("operator: configuration " + configuration + " acknowledged, " + routes.size() + " routes");
    }

    private static String plainRoute(String name, String prefix, String kind, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path-prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout-ms\":3000,\"latency-target-ms\":800,\"priority\":2,\"service\":\"" + service
                + "\",\"max-attempts\":2}";
    }

    /** Posts a plain request. Returns null if there is no whole answer. */
    static Http.Answer post(Gateways.Gateway gateway, String path, String id, byte[] body, int timeoutMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Request-Id", id);
        headers.put("X-Timeout-Ms", Integer.toString(timeoutMillis));
        Http.Answer answer = Http.call(gateway.entry, "POST", path, headers, body, timeoutMillis + 1000);
        Record.write("client: POST " + path + " id " + id + " " + body.length + " bytes to " + gateway.name + " -> "
                + (answer == null ? "no answer" : answer.status() + " " + shorten(answer.text())));
        return answer;
    }

    static String shorten(String text) {
        return text.length() <= 120 ? text : text.substring(0, 120) + "...";
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        gateways.close();
        sampler.forEach(Engine::close);
        ledger.forEach(Engine::close);
        store.close();
    }
}
