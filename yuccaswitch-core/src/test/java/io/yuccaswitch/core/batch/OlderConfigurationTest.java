package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.site.TestNode;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against items that are given up, or run by the wrong pool, at a node whose configuration is older than the one
 * under which their job was accepted.
 */
final class OlderConfigurationTest {

    /** Two of the items belong to the same group. */
    private static final int ITEMS = 4;

    /** The time within which each undisturbed node gets a change. */
    private static final int PROPAGATION_MILLIS = 150;

    private final BatchSite site = new BatchSite();
    private final TestNode strong = start("strong", 150);
    private final TestNode weak = start("weak-1", 36);

    /** How a node misses a change of the configuration. */
    private enum Disruption {
        /** The platform doesn't answer the node, which gets changes from other nodes once it has noticed that. */
        PARTITION,
        /** The node's process is frozen. */
        FREEZE,
        /** The VM is suspended. */
        SUSPENSION
    }

    @ParameterizedTest
    @EnumSource(Disruption.class)
    void aJobOnANewRouteIsCompletedThroughARunnerThatMissedTheRoute(Disruption disruption) {
        begin(disruption);
        long ticket = submitOnAddedRoute();
        site.run(2000);
        end(disruption);
        site.run(6000);
        assertThat(site.answer(ticket)).contains(new BatchAnswer.Accepted());
        assertThat(site.results("job")).hasSize(ITEMS).allMatch(BatchResult::completed);
    }

    @ParameterizedTest
    @EnumSource(Disruption.class)
    void noItemRunsAtThePoolFromWhichItsRouteWasMovedBeforeItsJobWasAccepted(Disruption disruption) {
        site.registerEngine("other-1", 1, EndpointName.UNKNOWN);
        site.run(PROPAGATION_MILLIS);
        begin(disruption);
        site.moveRoutes(2);
        site.run(PROPAGATION_MILLIS);
        site.submit(weak, BatchSite.job("job", ITEMS, "/rollouts/x", 2));
        site.run(2000);
        end(disruption);
        site.run(6000);
        assertThat(site.results("job")).hasSize(ITEMS).allMatch(BatchResult::completed);
        assertThat(site.started)
                .extracting(run -> run.endpoint().name().value())
                .containsOnly("other-1");
    }

    @Test
    void aJobStartsAsSoonAsItsRunnerHasItsConfiguration() {
        withholdConfigurationOf("strong");
        submitOnAddedRoute();
        site.run(3000);
        assertThat(site.started).isEmpty();
        assertThat(waits(strong)).isTrue();
        withholdConfigurationOf("");
        site.run(3000);
        assertThat(site.started).hasSize(ITEMS).allMatch(run -> run.id().equals(new BatchJobId("job")));
    }

    @Test
    void aClaimedJobWaitsForItsConfiguration() {
        start("weak-2", 36);
        site.engines(_run -> Optional.empty());
        withholdConfigurationOf("weak-2");
        submitOnAddedRoute();
        site.run(1000);
        site.kill(strong);
        site.kill(weak);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.run(3000);
        assertThat(site.results("job")).isEmpty();
        withholdConfigurationOf("");
        site.run(5000);
        assertThat(site.results("job")).hasSize(ITEMS).allMatch(BatchResult::completed);
    }

    @Test
    void aJobThatIsEndedWhileItWaitsForItsConfigurationDoesNotStart() {
        withholdConfigurationOf("strong");
        submitOnAddedRoute();
        site.run(500);
        long ticket = site.end(weak, "job");
        site.run(500);
        assertThat(site.answer(ticket)).contains(new BatchAnswer.Ended());
        assertThat(waits(strong)).isTrue();
        withholdConfigurationOf("");
        site.run(3000);
        assertThat(site.started).isEmpty();
    }

    @Test
    void aJobThatWaitsForItsConfigurationIsDroppedOnceAnotherNodeRunsIt() {
        begin(Disruption.FREEZE);
        submitOnAddedRoute();
        site.run(100);
        site.site.markGone("strong");
        site.run(3000);
        assertThat(site.results("job")).hasSize(ITEMS);
        withholdConfigurationOf("strong");
        site.site.markBack("strong");
        end(Disruption.FREEZE);
        site.run(3000);
        withholdConfigurationOf("");
        site.run(3000);
        assertThat(site.results("job")).hasSize(ITEMS).allMatch(BatchResult::completed);
        assertThat(site.started).hasSize(ITEMS);
    }

    @Test
    void aJobWhoseRouteIsRemovedAfterItWasAcceptedIsAbandoned() {
        site.engines(_run -> Optional.empty());
        submitOnAddedRoute();
        site.run(500);
        site.removeRoute("/added/", 3);
        site.run(PROPAGATION_MILLIS);
        assertThat(site.results("job")).hasSize(ITEMS).noneMatch(BatchResult::completed);
    }

    @Test
    void aResubmittedJobKeepsTheConfigurationOfItsFirstSubmission() {
        site.site
                .platform()
                .failWhere((_node, call) -> call instanceof PlatformEffect.Write write
                        && write.key().kind().equals(BatchObjects.INDEX));
        submitOnAddedRoute();
        site.run(PROPAGATION_MILLIS);
        site.site.platform().failWhere((_node, _call) -> false);
        begin(Disruption.PARTITION);
        site.removeRoute("/added/", 3);
        site.addRoute("/added/", 4);
        site.run(PROPAGATION_MILLIS);
        site.submit(weak, BatchSite.job("job", ITEMS, "/added/x", 4));
        site.run(500);
        assertThat(site.started).hasSize(ITEMS);
    }

    /** Submits a job as soon as the undisturbed nodes have its route, and returns the ticket of the call. */
    private long submitOnAddedRoute() {
        site.addRoute("/added/", 2);
        site.run(PROPAGATION_MILLIS);
        return site.submit(weak, BatchSite.job("job", ITEMS, "/added/x", 2));
    }

    private void begin(Disruption disruption) {
        switch (disruption) {
            case PARTITION -> disconnect("strong");
            case FREEZE -> strong.freeze(true);
            case SUSPENSION -> strong.suspend();
        }
    }

    private void end(Disruption disruption) {
        switch (disruption) {
            case PARTITION -> disconnect("");
            case FREEZE -> strong.freeze(false);
            case SUSPENSION -> strong.resume();
        }
    }

    private void disconnect(String name) {
        site.site.platform().disconnectWhere(name::equals);
    }

    /** Withholds the configuration from a node, whether from the platform or through other nodes. */
    private void withholdConfigurationOf(String name) {
        site.site
                .platform()
                .failWhere(
                        (node, call) -> node.equals(name) && call.toString().contains(RouteConfigurationSystem.KIND));
        site.site.loseMessages((to, message) -> to.equals(name) && !(message instanceof BatchMessage));
    }

    private TestNode start(String name, int capacity) {
        site.site.capacity(name, capacity);
        TestNode node = site.node(name);
        site.run(300);
        return node;
    }

    private static boolean waits(TestNode node) {
        return node.decisions().stream()
                .anyMatch(decision ->
                        decision.kind().equals("batch-job") && decision.choice().equals("wait"));
    }
}
