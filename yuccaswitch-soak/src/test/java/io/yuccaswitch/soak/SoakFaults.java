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

/** Faults from outside the programs, drawn with a seed, in series and overlapping, each of which passes. */
final class SoakFaults {

    private static final List<String> FOREIGN_ENTRIES = List.of(
            "{}",
            "[]",
            "7",
            "{\"service\":7,\"address\":[],\"zone\":null}",
            "{\"service\":\"ledger\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-a\",\"slots\":\"4\",\"state\":\"ready\"}",
            "{\"service\":\"sampler\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-a\",\"slots\":4,\"state\":\"resting\"}",
            "{\"service\":\"other\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone-a\",\"slots\":4,\"state\":\"ready\"}");
    private static final int LONGEST_FAULT_MILLIS = 3500;

    private final SoakSite site;
    private final Random random;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private final List<String> told = new ArrayList<>();

    SoakFaults(SoakSite site, long seed) {
        this.site = site;
        random = new Random(seed);
    }

    /** Lets faults strike for some time, and lifts them all. */
    void run(Duration length) throws IOException, InterruptedException {
        long begun = System.currentTimeMillis();
        long end = begun + length.toMillis();
        long next = begun + 300;
        long beat = begun;
        while (System.currentTimeMillis() < end) {
            long now = System.currentTimeMillis();
            lift(now);
            if (now >= next) {
                next = now + 150 + random.nextInt(1200);
                strike(now, now - begun);
            }
            if (now >= beat) {
                beat = now + 300;
                site.restartCrashed();
                site.beat();
            }
            Thread.sleep(20);
        }
        lift(Long.MAX_VALUE);
        site.restartCrashed();
        site.beat();
    }

    /** Returns what struck when, for the reader of a failed run. */
    List<String> told() {
        return told;
    }

    private void lift(long now) throws IOException, InterruptedException {
        while (!due.isEmpty() && due.peek().at() <= now) {
            due.poll().action().run();
        }
    }

    private void strike(long now, long elapsed) throws IOException, InterruptedException {
        int node = random.nextInt(site.gateways.size());
        GatewayProcess gateway = site.gateways.get(node);
        long until = now + 200 + random.nextInt(LONGEST_FAULT_MILLIS);
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        told.add(elapsed + " ms: " + kind + " node-" + node + " for " + (until - now) + " ms");
        switch (kind) {
            case KILL -> {
                gateway.kill();
                due.add(new Due(until, () -> restart(gateway)));
            }
            case PAUSE -> {
                gateway.signal("STOP");
                due.add(new Due(until, () -> gateway.signal("CONT")));
            }
            case STOP -> {
                gateway.signal("CONT");
                gateway.terminate();
                due.add(new Due(now + 9500, () -> restart(gateway)));
            }
            case HANG_UP -> gateway.signal("HUP");
            case STORE_DOWN -> {
                site.store.setUnavailable(true);
                due.add(new Due(until, () -> site.store.setUnavailable(false)));
            }
            case STORE_ANSWERS_LOST -> {
                int share = 2 + random.nextInt(4);
                site.store.loseAnswersWhere(_context -> Math.floorMod(System.nanoTime() / 1000, share) == 0);
                due.add(new Due(until, () -> site.store.loseAnswersWhere(_context -> false)));
            }
            case STORE_SILENT -> {
                List<Predicate<Context>> silences =
                        List.of(_call -> true, call -> call.method().name().equals("GET"), call -> call.path()
                                .endsWith("/batch-index"));
                site.store.holdCallsWhere(silences.get(random.nextInt(silences.size())));
                due.add(new Due(until, () -> site.store.holdCallsWhere(_call -> false)));
            }
            case STORE_FORGETS -> site.store.compact();
            case STORE_LINK -> fault(site.storeLinks.get(node), until);
            case ENGINE_LINK -> fault(site.engineLinks.get(engine()), until);
            case ENGINE_MISBEHAVES -> {
                EngineStandIn.Fault[] faults = EngineStandIn.Fault.values();
                site.engines.get(engine()).injectFault(faults[random.nextInt(faults.length)], 1 + random.nextInt(6));
            }
            case ENGINE_REPLACED -> site.replaceEngine(engine());
            case ENGINE_RESTARTED -> site.restartEngine(engine());
            case FOREIGN_ENTRY ->
                site.writeForeignEntry(
                        random.nextBoolean() ? engine() : "foreign-" + random.nextInt(4),
                        FOREIGN_ENTRIES.get(random.nextInt(FOREIGN_ENTRIES.size())));
            case CONFIGURATION ->
                site.store.put(
                        "config",
                        "main",
                        SiteDocuments.configuration(site.configuration.addAndGet(1 + random.nextInt(3))));
            case VERSION -> site.store.put("versions", "m", SiteDocuments.version(site.version.incrementAndGet()));
        }
    }

    private void fault(Link link, long until) {
        LinkFaults faults =
                switch (random.nextInt(5)) {
                    case 0 -> LinkFaults.of(LinkMode.BLACKHOLE);
                    case 1 -> LinkFaults.of(LinkMode.REFUSE);
                    case 2 -> LinkFaults.NONE.withDelay(Duration.ofMillis(50 + random.nextInt(400)));
                    case 3 -> LinkFaults.NONE.withReset(Direction.DOWN, 100 + random.nextInt(4000));
                    default -> LinkFaults.NONE.withCut(random.nextBoolean() ? Direction.UP : Direction.DOWN);
                };
        link.apply(faults);
        due.add(new Due(until, () -> {
            link.apply(LinkFaults.NONE);
            link.cutConnections();
        }));
    }

    private String engine() {
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

    /** Something that is due at a time. */
    private record Due(long at, Action action) {}

    /** What is due. */
    private interface Action {
        void run() throws IOException, InterruptedException;
    }
}
