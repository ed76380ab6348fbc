package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.site.TestNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that each completed text consists of runs that were asked to resume after exactly the events that precede them,
 * and names exactly the versions of its events, whichever nodes stored its parts.
 */
final class ResumedTextTest {

    /** The number of seeds, which the system property overrides for longer searches. */
    private static final long SEEDS = Long.getLong("resumed-text.seeds", 60);

    private static final long FIRST_SEED = Long.getLong("resumed-text.first-seed", 1);

    /** The step of the sweep over freezes and kills, which the system property overrides for closer searches. */
    private static final int SWEEP_MILLIS = Integer.getInteger("resumed-text.sweep-millis", 1500);

    private static final int ITEMS = 3;
    private static final int STEP_MILLIS = 100;

    /** The time during which faults occur, which is longer than a job takes without faults. */
    private static final int FAULTS_MILLIS = 20_000;

    /** The time after the last fault in which a job has to be finished. */
    private static final int RECOVERY_MILLIS = 30_000;

    private final BatchSite site = new BatchSite();
    private final EventRecordingEngines engines = new EventRecordingEngines(site);
    private final Map<String, TestNode> nodes = new TreeMap<>();

    /** Guards against texts of which no run generated both parts, as trainers would learn from them. */
    @Test
    void aTextIsNotJoinedFromTheRunsOfANodeThatWokeAndOfItsSuccessor() {
        start("node-1", "node-2");
        site.submit(nodes.get("node-1"), BatchSite.job("job", ITEMS));
        site.run(2400);
        TestNode first = nodes.get("node-1");
        site.site.platform().delayAnswers(name -> Duration.ofMillis(name.equals("node-1") ? 3500 : 0));
        first.freeze(true);
        site.site.markGone("node-1");
        site.run(2500);
        first.freeze(false);
        site.run(4500);
        kill("node-2");
        site.site.platform().delayAnswers(_name -> Duration.ZERO);
        start("node-3");
        site.run(20_000);
        assertThat(faults("job")).isEmpty();
        assertThat(site.listed("job")).hasSize(ITEMS);
    }

    /** Guards against joined texts whenever the first node returns and the second one is killed. */
    @ParameterizedTest
    @EnumSource
    void noTextIsJoinedFromTwoNodesWheneverTheFirstReturnsAndTheSecondIsKilled(Absence absence) {
        List<String> broken = new ArrayList<>();
        for (int platformMillis : List.of(0, 3500)) {
            for (int absentMillis = 1000; absentMillis <= 8000; absentMillis += SWEEP_MILLIS) {
                for (int killMillis = 500; killMillis <= 8000; killMillis += SWEEP_MILLIS) {
                    broken.addAll(new HandOver(absence, platformMillis, absentMillis, killMillis).faults());
                }
            }
        }
        assertThat(broken).isEmpty();
    }

    /** Guards against events of an earlier start that are appended to the text of a later one. */
    @Test
    void theLateEndOfAnAttemptIsNotTakenForThatOfAnAttemptOfALaterStart() {
        engines.delayCancellations(Duration.ofSeconds(3));
        start("node-1", "node-2");
        TestNode first = nodes.get("node-1");
        site.submit(first, BatchSite.job("job", ITEMS));
        site.run(2400);
        first.freeze(true);
        site.site.markGone("node-1");
        site.run(1000);
        first.freeze(false);
        site.site.markBack("node-1");
        site.run(100);
        site.site.markGone("node-2");
        site.run(20_000);
        assertThat(faults("job")).isEmpty();
        assertThat(site.listed("job")).hasSize(ITEMS);
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void textsAreCompleteAndOfRunsThatResumedWhereTheyAreJoined(long seed) {
        Random random = new Random(seed);
        List<String> trace = new ArrayList<>();
        start("node-1", "node-2", "node-3");
        site.submit(nodes.get("node-1"), BatchSite.job("job", ITEMS));
        site.run(50);
        Map<String, Integer> frozenUntil = new HashMap<>();
        Map<String, Integer> slowUntil = new HashMap<>();
        Map<String, Integer> restartAt = new HashMap<>();
        site.site.platform().delayAnswers(name -> Duration.ofMillis(slowUntil.containsKey(name) ? 3500 : 0));
        int lossPercent = random.nextInt(40);
        site.site.platform().applyLateWhere((_node, call) -> isText(call) && random.nextInt(100) < lossPercent);
        site.site.platform().loseAnswersWhere((_node, call) -> isText(call) && random.nextInt(100) < lossPercent);
        for (int at = 0; at < FAULTS_MILLIS && site.listed("job").size() < ITEMS; at += STEP_MILLIS) {
            int now = at;
            frozenUntil.entrySet().removeIf(frozen -> frozen.getValue() <= now && wake(frozen.getKey(), trace, now));
            slowUntil.values().removeIf(until -> until <= now);
            restartAt.entrySet().removeIf(down -> down.getValue() <= now && restart(down.getKey(), trace, now));
            if (random.nextInt(100) < 8 && !nodes.isEmpty()) {
                String name = List.copyOf(nodes.keySet()).get(random.nextInt(nodes.size()));
                int until = now + 500 + random.nextInt(4000);
                String fault;
                switch (random.nextInt(5)) {
                    case 0 -> {
                        fault = "killed";
                        frozenUntil.remove(name);
                        restartAt.put(name, now + 200 + random.nextInt(2500));
                        kill(name);
                    }
                    case 1, 2 -> {
                        fault = "frozen until " + until;
                        frozenUntil.put(name, until);
                        slowUntil.put(name, until);
                        nodes.get(name).freeze(true);
                        site.site.markGone(name);
                    }
                    case 3 -> {
                        fault = "considered dead until " + until;
                        frozenUntil.put(name, until);
                        site.site.markGone(name);
                    }
                    default -> {
                        fault = "loses its engines";
                        engines.interrupt(nodes.get(name));
                    }
                }
                trace.add(now + " " + name + " " + fault);
            }
            engines.delayCancellations(Duration.ofMillis(random.nextInt(1500)));
            if (random.nextInt(10) == 0) {
                site.site.platform().applyLate();
            }
            site.run(STEP_MILLIS);
        }
        frozenUntil.keySet().forEach(name -> wake(name, trace, FAULTS_MILLIS));
        restartAt.keySet().forEach(name -> restart(name, trace, FAULTS_MILLIS));
        slowUntil.clear();
        for (int at = 0; at < RECOVERY_MILLIS && site.listed("job").size() < ITEMS; at += STEP_MILLIS) {
            site.run(STEP_MILLIS);
        }
        assertThat(faults("job")).as("seed %d, faults %s", seed, trace).isEmpty();
        assertThat(site.listed("job"))
                .as("seed %d, faults %s", seed, trace)
                .doesNotHaveDuplicates()
                .hasSize(ITEMS);
    }

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    private static boolean isText(PlatformEffect call) {
        return call instanceof PlatformEffect.Write write
                && write.key().kind().equals(BatchObjects.texts(new BatchJobId("job")));
    }

    private boolean wake(String name, List<String> trace, int now) {
        Optional.ofNullable(nodes.get(name)).ifPresent(node -> node.freeze(false));
        site.site.markBack(name);
        trace.add(now + " " + name + " works again");
        return true;
    }

    private boolean restart(String name, List<String> trace, int now) {
        trace.add(now + " " + name + " restarts");
        start(name);
        return true;
    }

    private void start(String... names) {
        for (String name : names) {
            nodes.put(name, site.node(name));
        }
        site.site.everyStep(_site -> engines.step(nodes.values()));
        site.run(100);
    }

    private void kill(String name) {
        site.kill(nodes.remove(name));
    }

    /** How a node is absent while it is considered dead. */
    private enum Absence {
        FROZEN {
            @Override
            void set(BatchSite _site, TestNode node, boolean absent) {
                node.freeze(absent);
            }
        },
        PARTITIONED {
            @Override
            void set(BatchSite site, TestNode node, boolean absent) {
                String name = node.name();
                site.site.connect((from, to) -> absent && (from.equals(name) || to.equals(name)));
                site.site.platform().silenceWhere(caller -> absent && caller.equals(name));
            }
        };

        abstract void set(BatchSite site, TestNode node, boolean absent);
    }

    /** A job whose first node is absent for a while, and whose second node is killed after the first one's return. */
    private record HandOver(Absence absence, int platformMillis, int absentMillis, int killMillis) {

        private List<String> faults() {
            ResumedTextTest play = new ResumedTextTest();
            BatchSite played = play.site;
            play.start("node-1", "node-2");
            played.submit(play.nodes.get("node-1"), BatchSite.job("job", ITEMS));
            played.run(2400);
            TestNode first = play.nodes.get("node-1");
            played.site.platform().delayAnswers(name -> Duration.ofMillis(name.equals("node-1") ? platformMillis : 0));
            absence.set(played, first, true);
            played.site.markGone("node-1");
            played.run(absentMillis);
            absence.set(played, first, false);
            played.run(killMillis);
            play.kill("node-2");
            played.site.platform().delayAnswers(_name -> Duration.ZERO);
            play.start("node-3");
            for (int at = 0; at < RECOVERY_MILLIS && played.listed("job").size() < ITEMS; at += STEP_MILLIS) {
                played.run(STEP_MILLIS);
            }
            List<String> faults = new ArrayList<>(play.faults("job"));
            if (played.listed("job").size() != ITEMS) {
                faults.add("listed " + played.listed("job"));
            }
            return faults.stream().map(fault -> this + " " + fault).toList();
        }
    }

    private List<String> faults(String job) {
        return site.results(job).stream()
                .filter(BatchResult::completed)
                .flatMap(result -> engines.fault(result).map(fault -> result.item() + ": " + fault).stream())
                .toList();
    }
}
