package io.yuccaswitch.soak;

import io.javalin.http.Context;
import io.yuccaswitch.adapter.standin.EngineStandIn;
import io.yuccaswitch.adapter.standin.GatewayProcess;
import io.yuccaswitch.adapter.standin.SiteDocuments;
import io.yuccaswitch.testkit.proxy.Direction;
import io.yuccaswitch.testkit.proxy.Link;
import io.yuccaswitch.testkit.proxy.LinkFaults;
import io.yuccaswitch.testkit.proxy.LinkMode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;

/** Injects temporary external faults, chosen by a seeded random generator, one by one and overlapping. */
final class SoakFaults {

    private static final List<String> FOREIGN_ENTRIES = List.of(
            "{}",
            "[]",
            "7",
            "{\"service\":7,\"address\":[],\"zone\":null}",
            "{\"service\":\"ledger\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-a\",\"slots\":\"4\",\"state\":\"ready\"}",
            "{\"service\":\"sampler\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-a\",\"slots\":4,\"state\":\"resting\"}",
            "{\"service\":\"other\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-a\",\"slots\":4,\"state\":\"ready\"}");
    private static final int FAULT_MILLIS_RANGE = 3500;

    private final SoakSite site;
    private final Random random;
    private final PriorityQueue<ScheduledAction> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledAction::at));
    private final List<String> injectedFaults = new ArrayList<>();

    SoakFaults(SoakSite site, long seed) {
        this.site = site;
        random = new Random(seed);
    }

    /** Injects faults for the given duration, and then heals all of them. */
    void run(Duration length) throws IOException, InterruptedException {
        long start = System.currentTimeMillis();
        long end = start + length.toMillis();
        long nextFault = start + 300;
        long nextEntryWrite = start;
        while (System.currentTimeMillis() < end) {
            long now = System.currentTimeMillis();
            runScheduled(now);
            if (now >= nextFault) {
                nextFault = now + 150 + random.nextInt(1200);
                injectFault(now, now - start);
            }
            if (now >= nextEntryWrite) {
                nextEntryWrite = now + 300;
                site.restartCrashed();
                site.writeEntries();
            }
            Thread.sleep(20);
        }
        runScheduled(Long.MAX_VALUE);
        site.restartCrashed();
        site.writeEntries();
    }

    /** Returns the injected faults with their times, for the diagnosis of a failed run. */
    List<String> injectedFaults() {
        return injectedFaults;
    }

    private void runScheduled(long now) throws IOException, InterruptedException {
        while (!scheduled.isEmpty() && scheduled.peek().at() <= now) {
            scheduled.poll().action().run();
        }
    }

    private void injectFault(long now, long elapsed) throws IOException, InterruptedException {
        int node = random.nextInt(site.gateways.size());
        GatewayProcess gateway = site.gateways.get(node);
        long until = now + 200 + random.nextInt(FAULT_MILLIS_RANGE);
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        injectedFaults.add(elapsed + " ms: " + kind + " node-" + node + " for " + (until - now) + " ms");
        switch (kind) {
            case KILL -> {
                gateway.kill();
                scheduled.add(new ScheduledAction(until, () -> restart(gateway)));
            }
            case PAUSE -> {
                gateway.signal("STOP");
                scheduled.add(new ScheduledAction(until, () -> gateway.signal("CONT")));
            }
            case STOP -> {
                gateway.signal("CONT");
                gateway.terminate();
                scheduled.add(new ScheduledAction(now + 9500, () -> restart(gateway)));
            }
            case HANG_UP -> gateway.signal("HUP");
            case STORE_DOWN -> {
                site.store.setUnavailable(true);
                scheduled.add(new ScheduledAction(until, () -> site.store.setUnavailable(false)));
            }
            case STORE_ANSWERS_LOST -> {
                int share = 2 + random.nextInt(4);
                site.store.loseAnswersWhere(_context -> Math.floorMod(System.nanoTime() / 1000, share) == 0);
                scheduled.add(new ScheduledAction(until, () -> site.store.loseAnswersWhere(_context -> false)));
            }
            case STORE_SILENT -> {
                List<Predicate<Context>> silentCalls =
                        List.of(_call -> true, call -> call.method().name().equals("GET"), call -> call.path()
                                .endsWith("/batch-index"));
                site.store.holdCallsWhere(silentCalls.get(random.nextInt(silentCalls.size())));
                scheduled.add(new ScheduledAction(until, () -> site.store.holdCallsWhere(_call -> false)));
            }
            case STORE_FORGETS -> site.store.compact();
            case STORE_LINK -> injectLinkFault(site.storeLinks.get(node), until);
            case ENGINE_LINK -> injectLinkFault(site.engineLinks.get(randomEngine()), until);
            case ENGINE_MISBEHAVES -> {
                EngineStandIn.Fault[] faults = EngineStandIn.Fault.values();
                site.engines
                        .get(randomEngine())
                        .injectFault(faults[random.nextInt(faults.length)], 1 + random.nextInt(6));
            }
            case ENGINE_REPLACED -> site.replaceEngine(randomEngine());
            case ENGINE_RESTARTED -> site.restartEngine(randomEngine());
            case FOREIGN_ENTRY ->
                site.writeForeignEntry(
                        random.nextBoolean() ? randomEngine() : "foreign-" + random.nextInt(4),
                        FOREIGN_ENTRIES.get(random.nextInt(FOREIGN_ENTRIES.size())));
            case CONFIGURATION ->
                site.store.put(
                        "config",
                        "main",
                        SiteDocuments.configuration(site.configuration.addAndGet(1 + random.nextInt(3))));
            case VERSION -> site.store.put("versions", "m", SiteDocuments.version(site.version.incrementAndGet()));
        }
    }

    private void injectLinkFault(Link link, long until) {
        LinkFaults faults =
                switch (random.nextInt(5)) {
                    case 0 -> LinkFaults.of(LinkMode.BLACKHOLE);
                    case 1 -> LinkFaults.of(LinkMode.REFUSE);
                    case 2 -> LinkFaults.NONE.withDelay(Duration.ofMillis(50 + random.nextInt(400)));
                    case 3 -> LinkFaults.NONE.withReset(Direction.DOWN, 100 + random.nextInt(4000));
                    default -> LinkFaults.NONE.withCut(random.nextBoolean() ? Direction.UP : Direction.DOWN);
                };
        link.apply(faults);
        scheduled.add(new ScheduledAction(until, () -> {
            link.apply(LinkFaults.NONE);
            link.cutConnections();
        }));
    }

    private String randomEngine() {
        List<String> names = new ArrayList<>(site.engines.keySet());
        return names.get(random.nextInt(names.size()));
    }

    private static void restart(GatewayProcess gateway) throws IOException, InterruptedException {
        if (gateway.isAlive()) {
            gateway.signal("CONT");
            gateway.kill();
        }
        gateway.start();
    }

    /** The kinds of faults. */
    private enum Kind {
        KILL,
        PAUSE,
        STOP,
        HANG_UP,
        STORE_DOWN,
        STORE_ANSWERS_LOST,
        STORE_FORGETS,
        STORE_LINK,
        ENGINE_LINK,
        ENGINE_MISBEHAVES,
        ENGINE_REPLACED,
        ENGINE_RESTARTED,
        FOREIGN_ENTRY,
        CONFIGURATION,
        VERSION,
        STORE_SILENT
    }

    /** An action that is scheduled for a time. */
    private record ScheduledAction(long at, Action action) {}

    /** A scheduled action, which heals a fault. */
    private interface Action {
        void run() throws IOException, InterruptedException;
    }
}
