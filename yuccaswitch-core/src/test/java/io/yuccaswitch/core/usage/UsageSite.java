package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.duty.DutyOutcome;
import io.yuccaswitch.core.duty.LeaseRelaySystem;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A site of nodes that count requests, with a simulated cloud that records violations of its rules. */
final class UsageSite {

    static final Duration WINDOW = Duration.ofSeconds(5);
    static final Duration SAFETY_TIME = Duration.ofSeconds(3);

    private final TestSite site = new TestSite();
    private final Map<String, TestNode> nodes = new HashMap<>();
    private final Map<String, Map<Long, Map<String, Long>>> counted = new HashMap<>();
    private final Map<Long, Map<String, Long>> reports = new TreeMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private boolean cloudDown;
    private boolean answersLost;

    UsageSite() {
        site.connect((_from, _to) -> false);
        site.everyStep(_site -> List.copyOf(nodes.values()).forEach(this::serveCloud));
    }

    TestSite site() {
        return site;
    }

    TestNode node(String name) {
        return nodes.get(name);
    }

    void start(String name) {
        counted.remove(name);
        nodes.put(name, site.start(name, (self, tokens) -> {
            DutyLease lease = new DutyLease(self, tokens, SAFETY_TIME);
            UsageWindows windows = new UsageWindows(WINDOW);
            UsageCounts counts = new UsageCounts();
            return List.of(
                    lease,
                    new LeaseRelaySystem(tokens),
                    new UsageCountSystem(self, counts, windows, this::millis),
                    new UsageReportSystem(self, lease, counts, windows, this::millis, tokens));
        }));
    }

    void kill(String name) {
        site.kill(name);
        nodes.remove(name);
    }

    void run(long millis) {
        site.run(Duration.ofMillis(millis));
    }

    void cloudDown(boolean state) {
        cloudDown = state;
    }

    void loseAnswers(boolean state) {
        answersLost = state;
    }

    long window() {
        return new UsageWindows(WINDOW).windowAt(millis());
    }

    long millis() {
        return site.now().nanoseconds() / 1_000_000;
    }

    /** Runs until the next window begins. */
    void runToNextWindow() {
        run(WINDOW.toMillis() - millis() % WINDOW.toMillis());
    }

    /** Counts a request at a node. */
    void count(String name, String account) {
        Map<String, Long> own = counted.computeIfAbsent(name, _name -> new HashMap<>())
                .computeIfAbsent(window(), _window -> new HashMap<>());
        own.merge(account, 1L, Long::sum);
        nodes.get(name).accept(new UsageEvent.Counted(Map.of(window(), Map.copyOf(own))));
    }

    /** Returns the reports that the cloud has accepted. */
    Map<Long, Map<String, Long>> reports() {
        return reports;
    }

    /** Returns the calls that reached the cloud. */
    List<Call> calls() {
        return calls;
    }

    /** Returns the violated rules. */
    List<String> violations() {
        return violations;
    }

    private void serveCloud(TestNode node) {
        for (UsageEffect.Report report : node.take(UsageEffect.Report.class)) {
            if (cloudDown) {
                node.accept(new UsageEvent.Reported(report.window(), DutyOutcome.UNANSWERED));
                continue;
            }
            checkReport(node.name(), report);
            node.accept(
                    new UsageEvent.Reported(report.window(), answersLost ? DutyOutcome.UNANSWERED : DutyOutcome.DONE));
        }
    }

    private void checkReport(String sender, UsageEffect.Report report) {
        Map<String, Long> previous = reports.putIfAbsent(report.window(), report.counts());
        if (previous != null && !previous.equals(report.counts())) {
            violations.add("two reports of window " + report.window() + ": " + previous + " and " + report.counts());
        }
        for (Call call : calls) {
            boolean other = !call.sender().equals(sender);
            if (other && call.fence() == report.fence()) {
                violations.add("fence " + call.fence() + " of " + call.sender() + " and " + sender);
            }
            if (call.fence() > report.fence()) {
                violations.add("fence " + report.fence() + " of " + sender + " after " + call.fence());
            }
        }
        checkInterleaving(sender);
        calls.add(new Call(sender, report.fence(), millis()));
    }

    private void checkInterleaving(String sender) {
        boolean interleaved = false;
        for (int i = calls.size() - 1; i >= 0 && millis() - calls.get(i).millis() < SAFETY_TIME.toMillis(); i--) {
            boolean own = calls.get(i).sender().equals(sender);
            if (own && interleaved) {
                violations.add("another node made a call between two calls of " + sender);
                return;
            }
            interleaved |= !own;
        }
    }

    /** A call that reached the cloud. */
    record Call(String sender, long fence, long millis) {}
}
