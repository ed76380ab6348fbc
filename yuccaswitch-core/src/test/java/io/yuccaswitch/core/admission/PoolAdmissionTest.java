package io.yuccaswitch.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class PoolAdmissionTest {

    private static final Duration TARGET = Duration.ofMillis(184);

    private EndpointSelection selection = new EndpointSelection(new AvailabilityZone("zone"), "node");
    private PoolAdmission admission = new PoolAdmission(selection, PoolAdmission.Limits.DEFAULT);
    private List<RegisteredEndpoint> working = List.of(AdmissionReplay.endpoint(0, 1));
    private long millis = 1000;
    private long ids;

    /** Guards against requests that wait although their time, or three quarters of their target, can't be kept. */
    @Test
    void requestThatWouldEndTooLateIsRefusedOnArrival() {
        answers(30);
        assertThat(refusal(arrive("one", 1, TARGET, 1501))).isNull();
        assertThat(arrive("one", 1, TARGET, 1501)).isEmpty();
        assertThat(refusal(arrive("one", 1, TARGET, 1501))).isEqualTo(AdmissionVerdict.Reason.TOO_LATE);
        assertThat(refusal(arrive("two", 1, Duration.ofMillis(50), 1501))).isEqualTo(AdmissionVerdict.Reason.TOO_LATE);
        assertThat(refusal(arrive("two", 1, Duration.ofSeconds(60), 50))).isEqualTo(AdmissionVerdict.Reason.TOO_LATE);
    }

    /** Guards against requests that wait until their deadline. */
    @Test
    void requestIsRefusedAfterAQuarterOfItsTargetIfNoSlotBecomesFree() {
        arrive("one", 1, TARGET, 1501);
        assertThat(arrive("one", 1, TARGET, 1501)).isEmpty();
        millis += 45;
        assertThat(admission.advance(situation())).isEmpty();
        millis += 1;
        assertThat(refusal(admission.advance(situation()))).isEqualTo(AdmissionVerdict.Reason.NO_SLOT);
        assertThat(admission.waiting()).isZero();
    }

    /** Guards against refusing a request that may have run, which its caller would see as failed. */
    @Test
    void requestThatMayHaveRunWaitsForUpToHalfOfItsTime() {
        arrive("one", 1, TARGET, 1501);
        assertThat(admission.arrive(request("one", 1, TARGET, 1501, AdmissionRequest.Stage.MAY_HAVE_RUN), situation()))
                .isEmpty();
        millis += 750;
        assertThat(admission.advance(situation())).isEmpty();
        millis += 1;
        assertThat(admission.advance(situation())).hasSize(1);
    }

    /** Guards against a queue that grows without bound. */
    @Test
    void fullQueueRefusesUnlessAnotherRequestGivesWay() {
        admission = new PoolAdmission(selection, new PoolAdmission.Limits(2, 1000));
        arrive("large", 5, TARGET, 1501);
        arrive("large", 5, TARGET, 1501);
        arrive("large", 5, TARGET, 1501);
        List<AdmissionVerdict> same = arrive("large", 5, TARGET, 1501);
        assertThat(refusal(same)).isEqualTo(AdmissionVerdict.Reason.QUEUE_FULL);
        assertThat(same.get(0).request().id()).isEqualTo(ids);
        List<AdmissionVerdict> small = arrive("small", 5, TARGET, 1501);
        assertThat(refusal(small)).isEqualTo(AdmissionVerdict.Reason.DISPLACED);
        assertThat(small.get(0).request().account().value()).isEqualTo("large");
        List<AdmissionVerdict> urgent = arrive("large", 0, TARGET, 1501);
        assertThat(refusal(urgent)).isEqualTo(AdmissionVerdict.Reason.DISPLACED);
        assertThat(urgent.get(0).request().priority()).isEqualTo(5);
        assertThat(admission.waiting()).isEqualTo(2);
    }

    /** Guards against a request that loses its turn because an endpoint refused it. */
    @Test
    void requestThatAnEndpointRefusedIsNextAndUrgencyPrecedesIt() {
        AdmissionRequest running = granted(arrive("one", 1, TARGET, 1501)).request();
        arrive("two", 1, TARGET, 1501);
        end(running);
        admission.recordRefusal(working.get(0), situation());
        assertThat(admission.arrive(request("one", 1, TARGET, 1501, AdmissionRequest.Stage.REFUSED), situation()))
                .isEmpty();
        arrive("three", 0, TARGET, 1501);
        millis += 30;
        AdmissionRequest first = granted(admission.advance(situation())).request();
        assertThat(first.priority()).isZero();
        end(first);
        AdmissionRequest second = granted(admission.advance(situation())).request();
        assertThat(second.stage()).isEqualTo(AdmissionRequest.Stage.REFUSED);
        end(second);
        assertThat(granted(admission.advance(situation())).request().account().value())
                .isEqualTo("two");
    }

    /** Guards against return times that are assigned in an order that differs between JVMs. */
    @Test
    void requestsWhoseWaitEndsTogetherAreRefusedInTheOrderOfTheirArrival() {
        arrive("one", 1, TARGET, 1501);
        List<Long> arrivals = new ArrayList<>();
        for (int count = 0; count < 20; count++) {
            assertThat(arrive("account-" + count % 3, 1, TARGET, 1501)).isEmpty();
            arrivals.add(ids);
        }
        millis += 46;
        assertThat(admission.advance(situation()))
                .extracting(verdict -> verdict.request().id())
                .containsExactlyElementsOf(arrivals);
    }

    /** Guards against requests of one account that are served by arrival although a later one is due first. */
    @Test
    void requestsOfOneAccountAreServedByDeadline() {
        AdmissionRequest running = granted(arrive("one", 1, TARGET, 1501)).request();
        arrive("one", 1, TARGET, 1501);
        arrive("one", 1, TARGET, 900);
        end(running);
        assertThat(granted(admission.advance(situation())).request().id()).isEqualTo(3);
    }

    /** Guards against a waiting request whose caller has disconnected, or whose last endpoint was removed. */
    @Test
    void withdrawnRequestsAndThoseWithoutEndpointsLeaveTheQueue() {
        arrive("one", 1, TARGET, 1501);
        AdmissionRequest gone = request("one", 1, TARGET, 1501, AdmissionRequest.Stage.NEW);
        admission.arrive(gone, situation());
        assertThat(admission.withdraw(gone)).isTrue();
        assertThat(admission.withdraw(gone)).isFalse();
        arrive("one", 1, TARGET, 1501);
        working = List.of();
        assertThat(refusal(admission.advance(situation()))).isEqualTo(AdmissionVerdict.Reason.NO_ENDPOINT);
        assertThat(refusal(arrive("one", 1, TARGET, 1501))).isEqualTo(AdmissionVerdict.Reason.NO_ENDPOINT);
    }

    /** Guards against workloads that no deployment has: of one or many endpoints and slots, short and long targets. */
    @Property(tries = 30, seed = "20261202")
    void eachRequestGetsOneDecisionInTimeAndNoSlotIsUsedTwice(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        selection = new EndpointSelection(new AvailabilityZone("zone"), "node");
        admission = new PoolAdmission(selection, PoolAdmission.Limits.DEFAULT);
        Random random = new Random(seed);
        int endpoints = random.nextBoolean() ? 1 : 1 + random.nextInt(200);
        int slots = random.nextBoolean() ? 1 : 1 + random.nextInt(64);
        int nodes = random.nextBoolean() ? 1 : 51;
        long target = random.nextBoolean() ? 50 : 60_000;
        long work = Math.max(1, target / (2 + random.nextInt(20)));
        working = IntStream.range(0, endpoints)
                .mapToObj(index -> AdmissionReplay.endpoint(index, slots))
                .toList();
        int share = Math.max(1, slots / nodes);
        Map<Long, Integer> decisions = new HashMap<>();
        Map<Long, AdmissionRequest> requests = new HashMap<>();
        List<AdmissionVerdict.Granted> running = new ArrayList<>();
        int load = Math.min(endpoints * share + 5, 300);
        for (int step = 0; step < 40; step++) {
            millis += 1 + random.nextInt((int) Math.max(1, work / 2));
            PoolSituation now = new PoolSituation(working, nodes, at(millis));
            List<AdmissionVerdict> verdicts = new ArrayList<>();
            for (int index = random.nextInt(1 + running.size()); index > 0; index--) {
                AdmissionVerdict.Granted done = running.remove(random.nextInt(running.size()));
                selection.end(done.endpoint());
                admission.end(done.request().account());
                admission.recordAnswer(done.endpoint(), Duration.ofMillis(work));
            }
            verdicts.addAll(admission.advance(now));
            for (int index = random.nextInt(load); index > 0; index--) {
                AdmissionRequest request = request(
                        "account-" + random.nextInt(4),
                        random.nextInt(3),
                        Duration.ofMillis(target),
                        target * 2,
                        AdmissionRequest.Stage.NEW);
                requests.put(request.id(), request);
                verdicts.addAll(admission.arrive(request, now));
            }
            for (AdmissionVerdict verdict : verdicts) {
                decisions.merge(verdict.request().id(), 1, Integer::sum);
                if (verdict instanceof AdmissionVerdict.Granted granted) {
                    running.add(granted);
                }
            }
            working.forEach(endpoint -> assertThat(selection.running(endpoint)).isLessThanOrEqualTo(share));
            assertThat(admission.waiting()).isLessThanOrEqualTo(PoolAdmission.Limits.DEFAULT.requests());
        }
        millis += target / 4 + 1;
        admission
                .advance(situation())
                .forEach(verdict -> decisions.merge(verdict.request().id(), 1, Integer::sum));
        Set<Long> decided = new HashSet<>(decisions.keySet());
        assertThat(decided).isEqualTo(requests.keySet());
        assertThat(decisions.values()).allMatch(count -> count == 1);
    }

    private void answers(long work) {
        for (int count = 0; count < 20; count++) {
            admission.recordAnswer(working.get(0), Duration.ofMillis(work));
        }
    }

    private void end(AdmissionRequest request) {
        selection.end(working.get(0));
        admission.end(request.account());
    }

    private List<AdmissionVerdict> arrive(String account, int priority, Duration target, long deadlineMillis) {
        return admission.arrive(
                request(account, priority, target, deadlineMillis, AdmissionRequest.Stage.NEW), situation());
    }

    private AdmissionRequest request(
            String account, int priority, Duration target, long deadlineMillis, AdmissionRequest.Stage stage) {
        ids++;
        AdmissionRequest.Times times =
                new AdmissionRequest.Times(at(millis), at(millis), at(millis + deadlineMillis), target, false);
        return new AdmissionRequest(ids, new CallerName(account), 1, priority, 100, times, stage, Set.of());
    }

    private PoolSituation situation() {
        return new PoolSituation(working, 1, at(millis));
    }

    private static AdmissionVerdict.Reason refusal(List<AdmissionVerdict> verdicts) {
        return verdicts.stream()
                .filter(AdmissionVerdict.Refused.class::isInstance)
                .map(verdict -> ((AdmissionVerdict.Refused) verdict).reason())
                .findFirst()
                .orElse(null);
    }

    private static AdmissionVerdict.Granted granted(List<AdmissionVerdict> verdicts) {
        assertThat(verdicts).hasSize(1);
        return (AdmissionVerdict.Granted) verdicts.get(0);
    }

    private static MonotonicTime at(long millis) {
        return MonotonicTime.ZERO.plus(Duration.ofMillis(millis));
    }
}
