package io.yuccaswitch.core.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.membership.MembershipEvent;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Checks at the receiver of the calls that a duty has one holder at a time. Each history is a short random sequence of
 * nodes that crash, leave, are suspended or partitioned, and of a platform whose answers are lost or whose writes are
 * applied late. More histories: {@code -Dhistories=20000}.
 */
final class DutyHistoryTest {

    private static final int HISTORIES = Integer.getInteger("histories", 1000);
    private static final int STEPS = 40;
    private static final List<String> NODES = List.of("node-1", "node-2", "node-3");

    @Test
    void noHistoryHasTwoHoldersAtATimeOrTwoReportsOfAWindow() {
        int calls = 0;
        for (int seed = 1; seed <= HISTORIES; seed++) {
            UsageSite site = runHistory(seed);
            assertThat(site.violations()).as("seed " + seed).isEmpty();
            calls += site.calls().size();
        }
        assertThat(calls).isGreaterThan(HISTORIES * 3);
    }

    private static UsageSite runHistory(int seed) {
        Random random = new Random(seed);
        UsageSite site = new UsageSite();
        NODES.forEach(site::start);
        Set<String> killed = new HashSet<>();
        Set<String> suspended = new HashSet<>();
        for (int step = 0; step < STEPS; step++) {
            String name = NODES.get(random.nextInt(NODES.size()));
            injectFault(site, random, name, killed, suspended);
            NODES.stream()
                    .filter(node -> !killed.contains(node) && random.nextBoolean())
                    .forEach(node -> site.count(node, "account-" + random.nextInt(3)));
            site.run(100 + random.nextInt(1500));
        }
        return site;
    }

    private static void injectFault(
            UsageSite site, Random random, String name, Set<String> killed, Set<String> suspended) {
        if (killed.contains(name)) {
            killed.remove(name);
            site.start(name);
            return;
        }
        if (suspended.contains(name)) {
            suspended.remove(name);
            site.node(name).resume();
            return;
        }
        switch (random.nextInt(9)) {
            case 0 -> {
                killed.add(name);
                site.kill(name);
            }
            case 1 -> {
                suspended.add(name);
                site.node(name).suspend();
            }
            case 2 -> site.node(name).accept(new MembershipEvent.LeaveRequested());
            case 3 -> site.site().platform().failWhere((node, _call) -> node.equals(name));
            case 4 -> site.site().platform().failWhere((_node, _call) -> random.nextInt(4) == 0);
            case 5 -> site.site().platform().loseAnswersWhere((_node, _call) -> random.nextInt(3) == 0);
            case 6 -> site.site().platform().applyLateWhere((_node, _call) -> random.nextInt(3) == 0);
            case 7 -> site.site().connect((from, to) -> from.equals(name) || to.equals(name));
            default -> removeFaults(site);
        }
        if (random.nextInt(3) == 0) {
            site.site().platform().applyLate();
        }
        site.cloudDown(random.nextInt(5) == 0);
        site.loseAnswers(random.nextInt(4) == 0);
    }

    private static void removeFaults(UsageSite site) {
        site.site().platform().failWhere((_node, _call) -> false);
        site.site().platform().loseAnswersWhere((_node, _call) -> false);
        site.site().platform().applyLateWhere((_node, _call) -> false);
        site.site().platform().applyLate();
        site.site().connect((_from, _to) -> false);
    }
}
