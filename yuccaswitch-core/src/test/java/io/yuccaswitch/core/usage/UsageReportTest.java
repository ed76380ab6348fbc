package io.yuccaswitch.core.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which usage reports the cloud receives. */
final class UsageReportTest {

    private static final long REPORT_DEADLINE_MILLIS = 10_000;

    private final UsageSite site = new UsageSite();

    @BeforeEach
    void startThreeNodes() {
        site.start("node-1");
        site.run(200);
        site.start("node-2");
        site.start("node-3");
        site.run(500);
        site.runToNextWindow();
    }

    @Test
    void requestsOfAllNodesAreReportedInTimeByWindowAndAccount() {
        long window = site.window();
        site.count("node-1", "first");
        site.count("node-2", "first");
        site.run(1000);
        site.count("node-3", "second");
        site.runToNextWindow();
        site.count("node-3", "second");
        site.run(REPORT_DEADLINE_MILLIS);
        assertThat(site.reports().get(window)).isEqualTo(Map.of("first", 2L, "second", 1L));
        assertThat(site.reports().get(window + 1)).isEqualTo(Map.of("second", 1L));
    }

    @Test
    void aWindowWithoutRequestsIsReportedToo() {
        long window = site.window();
        site.runToNextWindow();
        site.run(REPORT_DEADLINE_MILLIS);
        assertThat(site.reports().get(window)).isEmpty();
    }

    @Test
    void countsOfAKilledNodeAreReported() {
        long window = site.window();
        site.count("node-3", "first");
        site.run(500);
        site.kill("node-3");
        site.runToNextWindow();
        site.run(REPORT_DEADLINE_MILLIS);
        assertThat(site.reports().get(window)).isEqualTo(Map.of("first", 1L));
    }

    @Test
    void countsOfAKilledHolderAreReportedByItsSuccessor() {
        long window = site.window();
        site.count("node-1", "first");
        site.run(500);
        site.kill("node-1");
        site.runToNextWindow();
        site.run(REPORT_DEADLINE_MILLIS);
        assertThat(site.reports().get(window)).isEqualTo(Map.of("first", 1L));
        assertThat(site.calls()).extracting(UsageSite.Call::sender).doesNotContain("node-1");
    }

    @Test
    void aNodeThatStartsAgainCountsBesideWhatItCountedBefore() {
        long window = site.window();
        site.count("node-3", "first");
        site.count("node-3", "first");
        site.run(500);
        site.kill("node-3");
        site.run(100);
        site.runToNextWindow();
        site.run(REPORT_DEADLINE_MILLIS);
        assertThat(site.reports().get(window)).isEqualTo(Map.of("first", 2L));
    }

    @Test
    void anUnreachableCloudReceivesTheSameReportAfterItRecovers() {
        long window = site.window();
        site.count("node-2", "first");
        site.cloudDown(true);
        site.runToNextWindow();
        site.run(8000);
        assertThat(site.reports()).doesNotContainKey(window);
        site.cloudDown(false);
        site.run(2000);
        assertThat(site.reports().get(window)).isEqualTo(Map.of("first", 1L));
    }

    @Test
    void anUnreachablePlatformDelaysAReportWithoutChangingIt() {
        long window = site.window();
        site.count("node-2", "first");
        site.run(1000);
        site.site().platform().failWhere((_node, _call) -> true);
        site.run(9000);
        assertThat(site.reports()).doesNotContainKey(window);
        site.site().platform().failWhere((_node, _call) -> false);
        site.run(5000);
        assertThat(site.reports().get(window)).isEqualTo(Map.of("first", 1L));
        assertThat(site.violations()).isEmpty();
    }

    @Test
    void aReportWhoseAnswersAreLostIsRepeatedUnchanged() {
        site.count("node-2", "first");
        site.loseAnswers(true);
        site.runToNextWindow();
        site.run(6000);
        site.count("node-2", "first");
        site.kill("node-1");
        site.run(9000);
        site.loseAnswers(false);
        site.run(3000);
        assertThat(site.calls()).hasSizeGreaterThan(2);
        assertThat(site.violations()).isEmpty();
    }

    @Test
    void aReportThatWasStoredWithoutAnAnswerIsSent() {
        long window = site.window();
        site.count("node-2", "first");
        site.run(500);
        site.site()
                .platform()
                .loseAnswersWhere((_node, call) -> call instanceof PlatformEffect.Write write
                        && write.key().kind().equals(UsageReportSystem.KIND));
        site.runToNextWindow();
        site.run(4000);
        site.site().platform().loseAnswersWhere((_node, _call) -> false);
        site.run(6000);
        assertThat(site.reports().get(window)).isEqualTo(Map.of("first", 1L));
        assertThat(site.violations()).isEmpty();
    }

    @Test
    void aPlannedStopOfTheHolderSkipsNoWindow() {
        long window = site.window();
        site.count("node-1", "first");
        site.run(1000);
        site.node("node-1").accept(new MembershipEvent.LeaveRequested());
        site.run(1000);
        site.kill("node-1");
        site.run(14_000);
        assertThat(site.reports()).containsKeys(window, window + 1);
        assertThat(site.reports().get(window)).isEqualTo(Map.of("first", 1L));
    }

    @Test
    void storedReportsReuseAFixedNumberOfObjectNames() {
        long oldWindow = site.window() - 720;
        site.site()
                .platform()
                .put(
                        UsageReportSystem.KIND,
                        Long.toString(Math.floorMod(site.window(), 720L)),
                        oldWindow + " node-9 1 true first=7");
        long window = site.window();
        site.count("node-2", "second");
        site.runToNextWindow();
        site.run(REPORT_DEADLINE_MILLIS);
        assertThat(site.reports().get(window)).isEqualTo(Map.of("second", 1L));
    }
}
