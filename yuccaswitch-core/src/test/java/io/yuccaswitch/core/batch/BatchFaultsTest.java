package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Plays random faults against the nodes that run a job: kills, restarts, freezes, take-overs, repeated submissions,
 * evicted logs, and a platform that is slow, loses answers, applies writes late and forgets its history.
 */
final class BatchFaultsTest {

    private static final String JOB = "job";
    private static final int ITEMS = 12;
    private static final int NODES = 3;
    private static final int FAULTS = 14;
    private static final int CALM_MILLIS = 30_000;

    /** An output of which a few exceed the memory for logs, so that the logs of jobs that don't run are evicted. */
    private static final Bytes LARGE = Bytes.ofUtf8("x".repeat(1 << 20));

    @Test
    void eachItemIsListedOnceWhateverFaultsStrikeTheRunners() {
        List<String> broken = new ArrayList<>();
        for (long seed : seeds()) {
            new Play(seed).run().ifPresent(fault -> broken.add("seed " + seed + ": " + fault));
        }
        assertThat(broken).isEmpty();
    }

    /** Returns the seeds, or those of the system property {@code seeds}, such as {@code 1-5000}. */
    private static List<Long> seeds() {
        String[] range = System.getProperty("seeds", "1-60").split("-", -1);
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]))
                .boxed()
                .toList();
    }

    /** A play of one seed. */
    private static final class Play {

        private final BatchSite site = new BatchSite();
        private final Random random;
        private final Map<String, TestNode> nodes = new HashMap<>();
        private final List<Read> reads = new ArrayList<>();

        private Play(long seed) {
            random = new Random(seed);
            boolean large = random.nextInt(4) == 0;
            int runMillis = 1 + random.nextInt(1500);
            site.engines(run -> Optional.of(completed(run, large)));
            site.runTimes(_run -> Duration.ofMillis(random.nextInt(runMillis)));
            for (int i = 0; i < NODES; i++) {
                nodes.put(name(i), site.node(name(i)));
            }
        }

        /** Plays the faults, and returns what they broke. */
        private Optional<String> run() {
            site.run(100);
            submit();
            for (int i = 0; i < FAULTS; i++) {
                site.run(10 + random.nextInt(random.nextBoolean() ? 100 : 900));
                strike();
            }
            recover();
            site.run(CALM_MILLIS);
            return check();
        }

        private void strike() {
            String name = name(random.nextInt(NODES));
            switch (random.nextInt(13)) {
                case 0, 1 -> kill(name);
                case 2, 3 -> restart(name);
                case 4 -> nodes.get(name).freeze(true);
                case 5 -> nodes.values().forEach(node -> node.freeze(false));
                case 6 -> site.site.markGone(name);
                case 7, 8 -> submit();
                case 9 -> delay();
                case 10 -> loseAnswers();
                case 11 -> site.site.platform().compact();
                default -> read(name);
            }
            if (random.nextInt(3) == 0) {
                site.site.platform().applyLate();
            }
        }

        private void kill(String name) {
            site.kill(nodes.get(name));
        }

        private void restart(String name) {
            site.kill(nodes.get(name));
            if (random.nextBoolean()) {
                site.run(10 + random.nextInt(1500));
            }
            nodes.put(name, site.node(name));
        }

        private void submit() {
            site.submit(nodes.get(name(random.nextInt(NODES))), BatchSite.job(JOB, ITEMS));
        }

        private void delay() {
            Map<String, Duration> delays = new HashMap<>();
            nodes.keySet().forEach(name -> delays.put(name, Duration.ofMillis(random.nextInt(600))));
            site.site.platform().delayAnswers(name -> delays.getOrDefault(name, Duration.ZERO));
            site.site.delayMessages((from, _to) -> delays.getOrDefault(from, Duration.ZERO));
        }

        private void loseAnswers() {
            int share = random.nextInt(80);
            site.site
                    .platform()
                    .loseAnswersWhere(
                            (_node, call) -> call instanceof PlatformEffect.Write && random.nextInt(100) < share);
            site.site
                    .platform()
                    .applyLateWhere(
                            (_node, call) -> call instanceof PlatformEffect.Write && random.nextInt(200) < share);
            site.site
                    .platform()
                    .failWhere((_node, call) -> !(call instanceof PlatformEffect.Watch) && random.nextInt(400) < share);
        }

        private void recover() {
            site.site.platform().delayAnswers(_node -> Duration.ZERO);
            site.site.delayMessages((_from, _to) -> Duration.ZERO);
            site.site.platform().loseAnswersWhere((_node, _call) -> false);
            site.site.platform().applyLateWhere((_node, _call) -> false);
            site.site.platform().failWhere((_node, _call) -> false);
            site.site.platform().applyLate();
            nodes.keySet().forEach(this::restart);
            submit();
        }

        private void read(String name) {
            int position = random.nextInt(ITEMS);
            reads.add(new Read(site.read(nodes.get(name), JOB, position, Duration.ofMillis(200)), position));
        }

        private Optional<String> check() {
            for (String name : nodes.keySet()) {
                reads.add(new Read(site.read(nodes.get(name), JOB, 0, Duration.ofMillis(200)), 0));
            }
            site.run(3000);
            List<String> listed = site.listed(JOB);
            List<String> ids = BatchSite.job(JOB, ITEMS).items().stream()
                    .map(BatchItem::id)
                    .sorted()
                    .toList();
            if (!listed.stream().sorted().toList().equals(ids)) {
                return Optional.of("listed " + listed);
            }
            return reads.stream()
                    .filter(read -> !isPageOf(listed, read))
                    .map(read -> "position " + read.position() + " of " + listed + " answered with "
                            + site.answer(read.ticket()))
                    .findFirst();
        }

        private boolean isPageOf(List<String> listed, Read read) {
            if (!(site.answer(read.ticket()).orElse(null) instanceof BatchAnswer.Results page)) {
                return true;
            }
            List<String> items = page.results().stream().map(BatchResult::item).toList();
            return page.total() == ITEMS
                    && items.equals(listed.subList(read.position(), read.position() + items.size()));
        }

        private static BatchEvent.AttemptEnded completed(BatchEffect.Run run, boolean large) {
            List<Bytes> events = LongStream.range(run.lastEventId(), 3)
                    .mapToObj(_event -> large ? LARGE : Bytes.ofUtf8("e"))
                    .toList();
            return BatchSite.ended(
                    run,
                    new AttemptOutcome.Completed(),
                    new ItemText(3, events, events.isEmpty() ? List.of() : List.of(1L)));
        }

        private static String name(int index) {
            return "node-" + index;
        }

        /** A read of results from a position. */
        private record Read(long ticket, int position) {}
    }
}
