package io.yuccaswitch.soak;

import io.yuccaswitch.adapter.standin.CallerStandIn;
import io.yuccaswitch.adapter.standin.CallerStandIn.Page;
import io.yuccaswitch.adapter.standin.CallerStandIn.Reply;
import io.yuccaswitch.adapter.standin.CrashingService;
import io.yuccaswitch.adapter.standin.SiteDocuments;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Callers and trainers that send requests throughout all faults and keep their connections open. */
final class SoakCallers implements AutoCloseable {

    private static final int CALLER_COUNT = 4;
    private static final int TRAINER_COUNT = 2;
    private static final int ITEMS_PER_JOB = 6;

    /** Timeout of a complete job. Faults last a few seconds, and jobs are taken over two seconds later. */
    private static final Duration JOB_TIMEOUT = Duration.ofSeconds(45);

    private final SoakSite site;
    private final SoakHistory history;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    SoakCallers(SoakSite site, SoakHistory history, long seed) {
        this.site = site;
        this.history = history;
        for (int i = 0; i < CALLER_COUNT; i++) {
            start("caller-" + i, new Random(seed * 31 + i), this::call);
        }
        for (int i = 0; i < TRAINER_COUNT; i++) {
            start("trainer-" + i, new Random(seed * 37 + i), this::train);
        }
        start("harmful", new Random(seed * 41), this::sendCrashingRequest);
    }

    /** Stops the callers, and waits until the trainers have read the jobs that they submitted. */
    @Override
    public void close() {
        stopped = true;
        for (Thread thread : threads) {
            try {
                thread.join(JOB_TIMEOUT.plusSeconds(20).toMillis());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            if (thread.isAlive()) {
                history.failures.add(thread.getName() + " did not end in time");
            }
        }
    }

    private void start(String name, Random random, Role role) {
        Thread thread = new Thread(
                () -> {
                    try (CallerStandIn caller = new CallerStandIn()) {
                        for (int number = 0; !stopped; number++) {
                            role.act(caller, name + "-" + number, random);
                        }
                        history.failures.addAll(caller.malformedHeads());
                    } catch (InterruptedException exception) {
                        Thread.currentThread().interrupt();
                    } catch (RuntimeException exception) {
                        history.failures.add(name + " failed with " + exception);
                    }
                },
                name);
        threads.add(thread);
        thread.start();
    }

    private void call(CallerStandIn caller, String id, Random random) throws InterruptedException {
        boolean once = random.nextBoolean();
        Optional<Reply> reply = caller.plain(entry(random), SiteDocuments.path(once ? "once" : "safe"), id);
        history.plain.add(new SoakHistory.Plain(id, once, reply));
        Thread.sleep(20 + random.nextInt(40));
    }

    /** Sends a request that crashes each endpoint that runs it. */
    private void sendCrashingRequest(CallerStandIn caller, String id, Random random) throws InterruptedException {
        caller.post(entry(random), SiteDocuments.path("safe"), id, CrashingService.HARMFUL);
        Thread.sleep(100 + random.nextInt(400));
    }

    private void train(CallerStandIn caller, String id, Random random) throws InterruptedException {
        long minimum = Math.max(1, site.version.get() - 1);
        long end = System.nanoTime() + JOB_TIMEOUT.toNanos();
        boolean accepted = false;
        for (int attempt = 0; attempt < 6 && !accepted; attempt++) {
            Optional<Reply> reply = caller.submit(entry(random), id, ITEMS_PER_JOB, minimum);
            history.submissions.add(new SoakHistory.Submission(id, ITEMS_PER_JOB, minimum, reply));
            accepted = reply.filter(found -> found.status() == 202).isPresent();
            Thread.sleep(100);
        }
        if (!accepted) {
            return;
        }
        if (random.nextInt(5) == 0) {
            Thread.sleep(random.nextInt(500));
            caller.end(entry(random), id);
            return;
        }
        if (!readAll(caller, id, random, end)) {
            history.failures.add("job " + id + " was accepted but not complete after " + JOB_TIMEOUT.toSeconds()
                    + " s; statuses of its pages: " + pageStatusCounts(id));
        }
    }

    /** Reads a job at random nodes, sometimes from an earlier position, until all its results were received. */
    private boolean readAll(CallerStandIn caller, String id, Random random, long end) throws InterruptedException {
        int next = 0;
        while (next < ITEMS_PER_JOB && System.nanoTime() < end) {
            int from = random.nextInt(4) == 0 ? random.nextInt(next + 1) : next;
            int node = random.nextInt(site.gateways.size());
            Optional<Page> page = caller.results(site.gateways.get(node).entry(), id, from);
            if (page.isPresent()) {
                history.reads.add(new SoakHistory.Read(id, "node-" + node, page.get()));
                next = Math.max(next, from + page.get().results().size());
            }
            Thread.sleep(50);
        }
        return next == ITEMS_PER_JOB;
    }

    private Map<Integer, Integer> pageStatusCounts(String id) {
        Map<Integer, Integer> statuses = new HashMap<>();
        synchronized (history.reads) {
            history.reads.stream()
                    .filter(read -> read.job().equals(id))
                    .forEach(read -> statuses.merge(read.page().status(), 1, Integer::sum));
        }
        return statuses;
    }

    private String entry(Random random) {
        return site.gateways.get(random.nextInt(site.gateways.size())).entry();
    }

    /** The action that a caller or a trainer repeats. */
    private interface Role {
        void act(CallerStandIn caller, String id, Random random) throws InterruptedException;
    }
}
