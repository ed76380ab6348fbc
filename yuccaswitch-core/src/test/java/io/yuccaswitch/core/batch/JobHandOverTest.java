package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.site.TestNode;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which node runs a job if the VMs have different capacities. */
final class JobHandOverTest {

    private final BatchSite site = new BatchSite();
    private final TestNode strong = start("strong", 150);
    private final TestNode weak = start("weak-1", 36);
    private final TestNode other = start("weak-2", 36);

    @Test
    void aJobRunsAtTheStrongNodeWhicheverNodeAcceptsIt() {
        long ticket = site.submit(weak, BatchSite.job("job", 4));
        site.run(200);
        assertThat(site.answer(ticket)).contains(new BatchAnswer.Accepted());
        assertThat(runs(strong, "job")).isTrue();
        assertThat(runs(weak, "job")).isFalse();
        site.run(2000);
        assertThat(site.listed("job")).hasSize(4);
        assertThat(site.started).hasSize(4);
    }

    @Test
    void aJobWhoseHandOverIsLostRunsOnceItsRunnerReadsTheIndex() {
        site.site.connect((from, _to) -> from.equals("weak-1"));
        site.submit(weak, BatchSite.job("job", 4));
        site.run(3000);
        assertThat(runs(strong, "job")).isTrue();
        assertThat(site.listed("job")).hasSize(4);
    }

    @Test
    void theJobOfAFailedRunnerIsTakenOver() {
        site.engines(_run -> Optional.empty());
        site.submit(weak, BatchSite.job("job", 4));
        site.run(300);
        site.kill(strong);
        site.engines(run -> Optional.of(BatchSite.completed(run, 1)));
        site.run(5000);
        assertThat(runs(weak, "job") || runs(other, "job")).isTrue();
        assertThat(site.listed("job")).hasSize(4);
    }

    @Test
    void aLeavingNodeIsNotChosenAsRunner() {
        strong.accept(new MembershipEvent.LeaveRequested());
        strong.accept(new BatchEvent.Leaving());
        site.site.markLeaving("strong");
        site.run(100);
        site.submit(weak, BatchSite.job("job", 4));
        site.run(2000);
        assertThat(runs(strong, "job")).isFalse();
        assertThat(site.listed("job")).hasSize(4);
    }

    @Test
    void aJobRunsAtTheAcceptingNodeIfAllNodesHaveTheSameCapacity() {
        site.kill(strong);
        site.run(100);
        site.submit(other, BatchSite.job("job", 4));
        site.run(500);
        assertThat(runs(other, "job")).isTrue();
    }

    private TestNode start(String name, int capacity) {
        site.site.capacity(name, capacity);
        TestNode node = site.node(name);
        site.run(300);
        return node;
    }

    private static boolean runs(TestNode node, String job) {
        return node.decisions().stream()
                .anyMatch(decision -> decision.kind().equals("batch-job")
                        && decision.subject().equals(job)
                        && decision.choice().equals("run here"));
    }
}
