package io.yuccaswitch.core.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.membership.MembershipEvent;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * One holder of a duty at a time, judged where its calls arrive, over short histories of nodes that die, stop, are
 * suspended, are cut off or meet a platform whose writes are lost or carried out late. More histories:
 * {@code -Dhistories=20000}.
 */
final class DutyHistoryTest {

    private static final int HISTORIES = Integer.getInteger("histories", 1000);
    private static final int STEPS = 40;
    private static final List<String> NODES = List.of("node-1", "node-2", "node-3");

    @Test
    void noHistoryHasTwoHoldersAtATimeOrTwoReportsOfAWindow() {
        int calls = 0;
        for (int seed = 1; seed <= HISTORIES; seed++) {
            UsageSite site = play(seed);
            assertThat(site.broken()).as("seed " + seed).isEmpty();
            calls += site.calls().size();
        }
        assertThat(calls).isGreaterThan(HISTORIES * 3);
    }

    private static UsageSite play(int seed) {
        Random random = new Random(seed);
        UsageSite site = new UsageSite();
        NODES.forEach(site::start);
        Set<String> dead = new HashSet<>();
        Set<String> suspended = new HashSet<>();
        for (int step = 0; step < STEPS; step++) {
            String name = NODES.get(random.nextInt(NODES.size()));
            strike(site, random, name, dead, suspended);
            NODES.stream()
                    .filter(node -> !dead.contains(node) && random.nextBoolean())
                    .forEach(node -> site.count(node, "account-" + random.nextInt(3)));
            site.run(100 + random.nextInt(1500));
        }
        return site;
    }

    private static void strike(UsageSite site, Random random, String name, Set<String> dead, Set<String> suspended) {
        if (dead.contains(name)) {
            dead.remove(name);
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
                dead.add(name);
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
            default -> heal(site);
        }
        if (random.nextInt(3) == 0) {
            site.site().platform().applyLate();
        }
        site.cloudDown(random.nextInt(5) == 0);
        site.loseAnswers(random.nextInt(4) == 0);
    }

    private static void heal(UsageSite site) {
        site.site().platform().failWhere((_node, _call) -> false);
        site.site().platform().loseAnswersWhere((_node, _call) -> false);
        site.site().platform().applyLateWhere((_node, _call) -> false);
        site.site().platform().applyLate();
        site.site().connect((_from, _to) -> false);
    }
}
