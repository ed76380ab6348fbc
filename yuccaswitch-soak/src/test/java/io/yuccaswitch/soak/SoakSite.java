package io.yuccaswitch.soak;

import io.yuccaswitch.adapter.standin.CallerStandIn;
import io.yuccaswitch.adapter.standin.CrashingService;
import io.yuccaswitch.adapter.standin.EngineStandIn;
import io.yuccaswitch.adapter.standin.GatewayProcess;
import io.yuccaswitch.adapter.standin.SiteDocuments;
import io.yuccaswitch.adapter.standin.StoreStandIn;
import io.yuccaswitch.testkit.proxy.Link;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** Gateways as processes of their own, each behind a link of its own to the platform, and endpoints behind links. */
final class SoakSite implements AutoCloseable {

    private static final Duration START_TIME = Duration.ofSeconds(40);
    private static final Duration RUN_TIME = Duration.ofMillis(30);

    final StoreStandIn store = new StoreStandIn();
    final List<GatewayProcess> gateways = new ArrayList<>();
    final List<Link> storeLinks = new ArrayList<>();
    final Map<String, EngineStandIn> engines = new TreeMap<>();
    final Map<String, Link> engineLinks = new TreeMap<>();
    final AtomicLong configuration = new AtomicLong(1);
    final AtomicLong version = new AtomicLong(1);
    private final List<EngineStandIn> retired = new ArrayList<>();
    private final List<EngineStandIn> crashed = new ArrayList<>();
    private int crashes;
    private int engineNumber;

    SoakSite(Path folder, int gatewayCount) throws IOException {
        store.put("config", "main", SiteDocuments.configuration(1));
        for (int i = 0; i < 3; i++) {
            addEngine("sampler");
        }
        addEngine("ledger");
        addEngine("ledger");
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < gatewayCount; i++) {
            Link link = new Link(0, address(store.address()));
            storeLinks.add(link);
            GatewayProcess gateway =
                    new GatewayProcess(folder, "node-" + i, "127.0.0.1:" + link.port(), List.copyOf(seeds));
            seeds.add(gateway.peer());
            gateways.add(gateway);
            gateway.start();
        }
    }

    /** Waits until all gateways are ready. */
    void awaitReady(CallerStandIn caller) throws InterruptedException {
        long end = System.nanoTime() + START_TIME.toNanos();
        while (!gateways.stream().allMatch(gateway -> caller.isReady(gateway.readiness()))) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("Not all gateways became ready");
            }
            Thread.sleep(100);
        }
    }

    /** Adds an endpoint to a service. */
    synchronized String addEngine(String service) {
        String id = "i-" + service + "-" + engineNumber++;
        EngineStandIn engine = start(id);
        engine.version(version.get());
        Link link = new Link(0, address(engine.address()));
        engines.put(id, engine);
        engineLinks.put(id, link);
        store.put("servers", id, entry(id));
        return id;
    }

    /** Lets an endpoint say that it leaves, and adds another one. */
    synchronized void replaceEngine(String id) {
        String service = serviceOf(id);
        addEngine(service);
        store.put("servers", id, SiteDocuments.leaving(entry(id)));
        retired.add(engines.remove(id));
    }

    /** Ends an endpoint and starts it again under its name, with its version and nothing else that it held. */
    synchronized void restartEngine(String id) throws IOException {
        EngineStandIn before = engines.get(id);
        before.close();
        retired.add(before);
        EngineStandIn started = start(id);
        started.version(before.version());
        engineLinks.get(id).close();
        engines.put(id, started);
        engineLinks.put(id, new Link(0, address(started.address())));
        store.put("servers", id, entry(id));
    }

    /** Starts an endpoint that crashes at a harmful request. */
    private EngineStandIn start(String id) {
        EngineStandIn engine = new EngineStandIn(id);
        engine.crashOn(CrashingService.HARMFUL, RUN_TIME, () -> crash(engine));
        return engine;
    }

    private synchronized void crash(EngineStandIn engine) {
        crashes++;
        if (engines.get(engine.id()) == engine) {
            engineLinks.get(engine.id()).close();
            crashed.add(engine);
        }
    }

    /** Starts the endpoints again that have crashed since the last time. */
    synchronized void restartCrashed() throws IOException {
        for (EngineStandIn engine : crashed) {
            if (engines.get(engine.id()) == engine) {
                restartEngine(engine.id());
            }
        }
        crashed.clear();
    }

    /** Returns how often an endpoint has crashed. */
    synchronized int crashes() {
        return crashes;
    }

    /** Writes an entry that no endpoint wrote, as a new one or in the place of an endpoint's own. */
    synchronized void writeForeignEntry(String id, String entry) {
        store.put("servers", id, entry);
    }

    /** Writes the newest versions to the registry, as engines do. */
    synchronized void beat() {
        engines.keySet().forEach(id -> store.put("servers", id, entry(id)));
    }

    /** Returns all endpoints that there ever were. */
    synchronized List<EngineStandIn> allEngines() {
        List<EngineStandIn> all = new ArrayList<>(engines.values());
        all.addAll(retired);
        return all;
    }

    /** Returns the service of an endpoint. */
    static String serviceOf(String id) {
        return id.split("-", -1)[1];
    }

    @Override
    public void close() {
        gateways.forEach(GatewayProcess::close);
        storeLinks.forEach(Link::close);
        engineLinks.values().forEach(Link::close);
        allEngines().forEach(EngineStandIn::close);
        store.close();
    }

    private String entry(String id) {
        return engines.get(id)
                .entry(serviceOf(id), "127.0.0.1:" + engineLinks.get(id).port());
    }

    private static InetSocketAddress address(String text) {
        return new InetSocketAddress(
                InetAddress.getLoopbackAddress(), Integer.parseInt(text.substring(text.indexOf(':') + 1)));
    }
}
