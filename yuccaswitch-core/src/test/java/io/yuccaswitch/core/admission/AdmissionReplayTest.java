package io.yuccaswitch.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Replays the loads that the admission of plain requests addresses. */
final class AdmissionReplayTest {

    /** The plain service of the uneven deployment. */
    private static final AdmissionReplay.Terms UNEVEN = new AdmissionReplay.Terms(30, 184, 1501);

    /** The plain service of the crowded deployment: 18 slots answer 500 requests a second. */
    private static final AdmissionReplay.Terms CROWDED = new AdmissionReplay.Terms(36, 186, 802);

    private static final long SEED = 20261202;

    /** Guards against large accounts that take the slots of all others. */
    @Test
    void smallAccountsAreServedWithinTheirTargetBesideTwoThatExceedTheirShareTenfold() {
        assertSmallAccountsAreServedWithinTheirTarget(SEED);
    }

    /**
     * Guards against large accounts whose refused callers delay the return of the only refused one of a small account.
     */
    @Test
    void refusedCallsOfSmallAccountsReturnWithinTheirTargetBesideLargeOnes() {
        assertSmallAccountsAreServedWithinTheirTarget(6);
        assertSmallAccountsAreServedWithinTheirTarget(29);
    }

    /** Guards against a queue that keeps requests which the remaining endpoints can't serve in time. */
    @Test
    void queueShrinksAtOnceWhenHalfOfTheEndpointsBecomeUnavailable() {
        AdmissionReplay replay = new AdmissionReplay(UNEVEN, 1, 4, 6, SEED);
        replay.runUntil(1500, Map.of("one", 900.0, "two", 900.0));
        int before = replay.waiting();
        replay.remove(2);
        // In a quarter of the target, 12 slots with 30 ms of work become free at most 18 times.
        assertThat(before).isGreaterThan(18);
        assertThat(replay.waiting()).isLessThanOrEqualTo(18);
        // The calls of the overload end by their deadline 1.5 s later, and the backlog of that time is served after it.
        replay.runUntil(6500, Map.of("one", 100.0, "two", 100.0));
        assertThat(replay.servedInTarget("one", 5500, 6200)).isEqualTo(1);
        assertThat(replay.servedInTarget("two", 5500, 6200)).isEqualTo(1);
    }

    /** Guards against nodes that disturb each other where a slot is free nearly always. */
    @Test
    void fiftyOneNodesWithWavesOfDifferentPhaseServeAllRequestsWithinTheCapacity() {
        AdmissionReplay replay = crowded(0.7, false, 5000);
        assertThat(replay.calls)
                .filteredOn(call -> call.madeAt < 4000)
                .allSatisfy(call -> assertThat(call.answeredAt - call.madeAt).isBetween(0L, CROWDED.deadlineMillis()));
        assertThat(replay.servedInTarget("account-0", 0, 4000)).isGreaterThanOrEqualTo(0.99);
    }

    /** Guards against refused callers and refused sends that keep endpoints from serving what they can. */
    @Test
    void overloadedPoolIsUsedFullyWithFewerSendsThanWithoutTheAdmission() {
        AdmissionReplay replay = crowded(1.5, false, 3000);
        assertThat(replay.answered(1000, 3000)).isGreaterThanOrEqualTo(2 * 500 * 95 / 100);
        assertThat(replay.sends).isLessThan(crowded(1.5, true, 3000).sends / 2);
    }

    private static void assertSmallAccountsAreServedWithinTheirTarget(long seed) {
        AdmissionReplay replay = new AdmissionReplay(UNEVEN, 1, 3, 6, seed);
        Map<String, Double> rates = new HashMap<>(Map.of("large-0", 600.0, "large-1", 600.0));
        IntStream.range(0, 8).forEach(index -> rates.put("small-" + index, 30.0));
        replay.runUntil(4000, rates);
        IntStream.range(0, 8).forEach(index -> assertThat(replay.servedInTarget("small-" + index, 0, 3500))
                .isEqualTo(1));
        assertThat(replay.calls).allSatisfy(call -> assertThat(call.longestWait).isLessThanOrEqualTo(184 * 3 / 4));
    }

    private static AdmissionReplay crowded(double load, boolean immediate, long millis) {
        AdmissionReplay replay = new AdmissionReplay(CROWDED, 51, 3, 6, SEED);
        replay.immediate = immediate;
        List<String> accounts =
                IntStream.range(0, 10).mapToObj(index -> "account-" + index).toList();
        replay.runUntil(millis, (_account, node, at) -> load * 50 / 51 * (1 + 0.8 * wave(at, node)), accounts);
        return replay;
    }

    private static double wave(long millis, int node) {
        return Math.sin(2 * Math.PI * (millis / 4000.0 + node / 51.0));
    }
}
