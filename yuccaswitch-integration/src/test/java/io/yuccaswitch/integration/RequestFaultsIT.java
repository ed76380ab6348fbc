package io.yuccaswitch.integration;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.integration.site.Callers;
import io.yuccaswitch.integration.site.Pause;
import io.yuccaswitch.integration.site.Promises;
import io.yuccaswitch.integration.site.Site;
import io.yuccaswitch.integration.site.Site.Node;
import io.yuccaswitch.integration.site.Site.StandIn;
import io.yuccaswitch.integration.site.SiteShape;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import io.yuccaswitch.testkit.check.Observation.EndpointLeft;
import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import io.yuccaswitch.testkit.check.Observation.NodeCrash;
import io.yuccaswitch.testkit.check.Observation.PlannedStop;
import io.yuccaswitch.testkit.check.Observations;
import io.yuccaswitch.testkit.load.LoadMix.Kind;
import io.yuccaswitch.testkit.load.LoadReport;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Caller load on a site of real processes while its endpoints and nodes fail. The tests share one site, and JUnit
 * orders them by a hash of their names: the test of a refusing endpoint must not run right after that of a leaving one,
 * as the nodes still treat that endpoint as leaving.
 */
class RequestFaultsIT {

    private static final double REQUESTS_PER_SECOND = 60;

    private static final Kind POST = Kind.post(Site.SERVICE_POOL, "netting", 5_000, 4);

    private static final Kind COMPLETION = Kind.completion(Site.TRAINER, 16, false, 10_000, 4);

    private static final Kind STREAM = Kind.completion(Site.TRAINER, 40, true, 10_000, 4);

    private static Site site;

    @BeforeAll
    static void start() {
        site = Site.start(Site.newFolder("request-faults"), SiteShape.small());
    }

    @AfterAll
    static void stop() {
        if (site != null) {
            site.close();
        }
    }

    @AfterEach
    void healFaults() {
        site.nodes().stream().filter(node -> !node.process().alive()).forEach(Node::restart);
        List<StandIn> endpoints = new ArrayList<>(site.engines());
        endpoints.addAll(site.services());
        for (StandIn endpoint : endpoints) {
            if (!endpoint.process().alive()) {
                endpoint.restart();
            }
            endpoint.fault("leaving", 0);
            endpoint.fault("delay-millis", 0);
            endpoint.fault("refusals", 0);
        }
    }

    @Test
    void aPostWhoseEndpointFailsBeforeDuringOrAfterTheRunRunsAtMostOnce() {
        Callers callers = Callers.start(site, REQUESTS_PER_SECOND, POST);
        StandIn first = site.services().get(0);
        for (String fault : List.of("resets-before-run", "resets-after-run", "cut-answers", "wrong-length-answers")) {
            first.fault(fault, 5);
            Pause.of(Duration.ofSeconds(1));
        }
        first.process().kill();
        Pause.of(Duration.ofSeconds(1));
        first.restart();
        Pause.of(Duration.ofSeconds(1));
        LoadReport report = callers.stop();

        assertThat(callers.attempts()).extracting(CallerAttempt::end).contains(AttemptEnd.MAY_HAVE_RUN);
        assertThat(report.kinds().get("post").answered()).isGreaterThan(report.offered() / 2);
        Promises.assertHold(site);
    }

    @Test
    void aCompletionWhoseEngineDiesIsAnsweredWholeByAnother() {
        Callers callers = Callers.start(site, REQUESTS_PER_SECOND / 2, COMPLETION, STREAM);
        Pause.of(Duration.ofSeconds(1));
        StandIn engine = site.engines().get(0);
        site.engines().get(1).fault("cut-answers", 5);
        engine.process().kill();
        Pause.of(Duration.ofSeconds(2));
        engine.restart();
        LoadReport report = callers.stop();

        long answered = report.kinds().values().stream()
                .mapToLong(LoadReport.KindReport::answered)
                .sum();
        assertThat(answered).isGreaterThanOrEqualTo(report.offered() * 95 / 100);
        Promises.assertHold(site);
    }

    @Test
    void lateAndCrossedAnswersReachNobodyElse() {
        Kind shortTimeout = Kind.post(Site.SERVICE_POOL, "netting", 700, 2);
        Callers callers = Callers.start(site, REQUESTS_PER_SECOND, shortTimeout, COMPLETION);
        StandIn service = site.services().get(0);
        service.fault("crossed-answers", 8);
        site.engines().get(0).fault("crossed-answers", 8);
        Pause.of(Duration.ofSeconds(1));
        service.fault("delay-millis", 1_000);
        Pause.of(Duration.ofSeconds(2));
        service.fault("delay-millis", 0);
        Pause.of(Duration.ofSeconds(1));
        callers.stop();

        assertThat(callers.attempts())
                .extracting(CallerAttempt::end)
                .contains(AttemptEnd.ANSWERED)
                .containsAnyOf(AttemptEnd.TIMED_OUT, AttemptEnd.MAY_HAVE_RUN);
        Promises.assertHold(site);
    }

    @Test
    void aPostIsNotRunTwiceWhenItsNodeDiesBetweenSendAndAnswer() {
        site.services().forEach(service -> service.fault("delay-millis", 1_500));
        Kind longTimeout = Kind.post(Site.SERVICE_POOL, "netting", 4_000, 3);
        Callers callers = Callers.start(site, REQUESTS_PER_SECOND / 3, longTimeout);
        Pause.of(Duration.ofSeconds(1));
        Node node = site.nodes().get(0);
        long from = System.currentTimeMillis();
        node.process().kill();
        Pause.of(Duration.ofSeconds(2));
        site.services().forEach(service -> service.fault("delay-millis", 0));
        node.restart();
        NodeCrash crash = new NodeCrash(node.name(), from, System.currentTimeMillis());
        callers.stop();

        Map<String, Long> attemptsById = callers.attempts().stream()
                .collect(Collectors.groupingBy(CallerAttempt::requestId, Collectors.counting()));
        assertThat(attemptsById.values())
                .as("a request identifier was sent more than once")
                .anyMatch(count -> count > 1);
        Promises.assertHold(site, crash);
    }

    @Test
    void anEndpointThatRefusesWhileItIsListedLiveCostsNoAnswer() {
        StandIn refusing = site.services().get(0);
        refusing.fault("refusals", -1);
        Callers callers = Callers.start(site, REQUESTS_PER_SECOND, POST);
        Pause.of(Duration.ofSeconds(3));
        LoadReport report = callers.stop();

        assertThat(report.kinds().get("post").answered()).isEqualTo(report.offered());
        Promises.assertHold(site);
    }

    @Test
    void aSlowEngineGetsLessThanItsShare() {
        StandIn slow = site.engines().get(0);
        Callers warmUp = Callers.start(site, REQUESTS_PER_SECOND, COMPLETION);
        slow.fault("delay-millis", 800);
        Pause.of(Duration.ofSeconds(2));
        warmUp.stop();
        long since = System.currentTimeMillis();
        Callers callers = Callers.start(site, REQUESTS_PER_SECOND, COMPLETION);
        Pause.of(Duration.ofSeconds(4));
        LoadReport report = callers.stop();

        Map<String, Long> runs = runsSince(since);
        long total = runs.values().stream().mapToLong(Long::longValue).sum();
        assertThat(runs.getOrDefault(slow.name(), 0L))
                .isLessThan(total / site.engines().size() * 3 / 4);
        assertThat(report.kinds().get("completion").answered()).isEqualTo(report.offered());
    }

    @Test
    void aLeavingEndpointGetsNothingAfterSeconds() {
        StandIn leaving = site.services().get(1);
        Callers callers = Callers.start(site, REQUESTS_PER_SECOND, POST);
        Pause.of(Duration.ofSeconds(1));
        long leftAt = System.currentTimeMillis();
        leaving.fault("leaving", 1);
        Pause.of(Duration.ofSeconds(5));
        LoadReport report = callers.stop();
        EndpointLeft left = new EndpointLeft(leaving.name(), leftAt, System.currentTimeMillis());

        assertThat(report.kinds().get("post").answered()).isEqualTo(report.offered());
        Promises.assertHold(site, left);
    }

    @Test
    void aRollingRestartOfAllNodesUnderLoadCutsNothing() {
        Callers callers = Callers.start(site, REQUESTS_PER_SECOND / 2, POST, COMPLETION, STREAM);
        Pause.of(Duration.ofSeconds(1));
        List<Observation> stops = new ArrayList<>();
        for (Node node : site.nodes()) {
            long from = System.currentTimeMillis();
            node.process().terminate();
            assertThat(node.process().awaitEnd(Duration.ofSeconds(60))).isZero();
            stops.add(new PlannedStop(node.name(), from, System.currentTimeMillis()));
            node.restart();
        }
        LoadReport report = callers.stop();

        long answered = report.kinds().values().stream()
                .mapToLong(LoadReport.KindReport::answered)
                .sum();
        assertThat(answered).isEqualTo(report.offered());
        Promises.assertHold(site, stops.toArray(Observation[]::new));
    }

    private static List<EndpointRun> runs() {
        return new Observations(site.observations()).of(EndpointRun.class);
    }

    private static Map<String, Long> runsSince(long since) {
        return runs().stream()
                .filter(run -> run.startedAt() >= since)
                .collect(Collectors.groupingBy(EndpointRun::endpoint, Collectors.counting()));
    }
}
