package io.yuccaswitch.soak;

import io.yuccaswitch.adapter.standin.CallerStandIn;
import io.yuccaswitch.adapter.standin.CrashingService;
import io.yuccaswitch.adapter.standin.EngineStandIn;
import io.yuccaswitch.adapter.standin.GatewayProcess;
import io.yuccaswitch.adapter.standin.SiteDocuments;
import io.yuccaswitch.adapter.standin.StoreStandIn;
import io.yuccaswitch.testkit.proxy.Link;
import io.yuccaswitch.testkit.proxy.LinkFaults;
import io.yuccaswitch.testkit.proxy.LinkMode;
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

/** Gateways as separate processes, each with its own link to the platform, and endpoints behind links. */
final class SoakSite implements AutoCloseable {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration CRASH_DELAY = Duration.ofMillis(30);

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
        long end = System.nanoTime() + START_TIMEOUT.toNanos();
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

    /** Adds a replacement for an endpoint, and announces that the endpoint leaves. */
    synchronized void replaceEngine(String id) {
        String service = serviceOf(id);
        addEngine(service);
        store.put("servers", id, SiteDocuments.leaving(entry(id)));
        retired.add(engines.remove(id));
    }

    /** Restarts an endpoint under the same identifier. It keeps its version and loses all other state. */
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

    /** Starts an endpoint that crashes while it runs a harmful request. */
    private EngineStandIn start(String id) {
        EngineStandIn engine = new EngineStandIn(id);
        engine.crashOn(
                CrashingService.HARMFUL, CRASH_DELAY, () -> refuseConnections(engine), () -> recordCrash(engine));
        return engine;
    }

    /**
     * Makes the address of an endpoint refuse connections before those that are open end, as for a process that ends.
     */
    private synchronized void refuseConnections(EngineStandIn engine) {
        if (engines.get(engine.id()) == engine) {
            engineLinks.get(engine.id()).apply(LinkFaults.of(LinkMode.REFUSE));
        }
    }

    private synchronized void recordCrash(EngineStandIn engine) {
        crashes++;
        if (engines.get(engine.id()) == engine) {
            engineLinks.get(engine.id()).close();
            crashed.add(engine);
        }
    }

    /** Restarts the endpoints that have crashed since the last call. */
    synchronized void restartCrashed() throws IOException {
        for (EngineStandIn engine : crashed) {
            if (engines.get(engine.id()) == engine) {
                restartEngine(engine.id());
            }
        }
        crashed.clear();
    }

    /** Returns the number of endpoint crashes. */
    synchronized int crashes() {
        return crashes;
    }

    /** Writes a registry entry that is not from an endpoint, as a new one or in place of an endpoint's entry. */
    synchronized void writeForeignEntry(String id, String entry) {
        store.put("servers", id, entry);
    }

    /** Writes the entries of all endpoints with their current versions to the registry, as engines do. */
    synchronized void writeEntries() {
        engines.keySet().forEach(id -> store.put("servers", id, entry(id)));
    }

    /** Returns all endpoints, including those that were replaced or restarted. */
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
