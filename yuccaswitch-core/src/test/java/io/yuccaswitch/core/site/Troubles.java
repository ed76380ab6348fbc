package io.yuccaswitch.core.site;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;

/**
 * What befalls nodes of a site, each for a time. Only times after a change matter, so all end before the next one.
 *
 * @param all The troubles.
 */
public record Troubles(List<Trouble> all) {

    /** How long slow answers and messages are on their way. */
    private static final Duration SLOWNESS = Duration.ofMillis(280);

    /** Nothing befalls anybody. */
    public static final Troubles NONE = new Troubles(List.of());

    /** Draws troubles that follow each other at nodes without a pause. */
    public static Troubles drawn(Collection<String> nodes, MonotonicTime begin, Random random) {
        List<Trouble> troubles = new ArrayList<>();
        for (String node : nodes) {
            MonotonicTime at = begin;
            for (int i = 0; i < 4; i++) {
                Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
                MonotonicTime end = at.plus(Duration.ofMillis(800 + random.nextInt(700)));
                troubles.add(new Trouble(node, kind, at, end));
                at = end;
            }
        }
        return new Troubles(troubles);
    }

    /** Nodes lose the platform, and stand still after some time. */
    public static Troubles lostAndStill(Collection<String> nodes, MonotonicTime lost, Duration contact) {
        List<Trouble> troubles = new ArrayList<>();
        MonotonicTime end = lost.plus(Duration.ofSeconds(4));
        for (String node : nodes) {
            troubles.add(new Trouble(node, Kind.PLATFORM_IS_SILENT, lost, end));
            troubles.add(new Trouble(node, Kind.STANDS_STILL, lost.plus(contact), end));
        }
        return new Troubles(troubles);
    }

    /** Brings them about in a site, from now on. */
    public void strike(TestSite site) {
        site.everyStep(this::strikeNow);
        strikeNow(site);
    }

    private void strikeNow(TestSite site) {
        MonotonicTime now = site.now();
        site.nodes().forEach(node -> node.freeze(isStruck(node.name(), Kind.STANDS_STILL, now)));
        site.platform().silenceWhere(name -> isStruck(name, Kind.PLATFORM_IS_SILENT, now));
        site.platform().failWhere((name, _call) -> isStruck(name, Kind.PLATFORM_REFUSES, now));
        site.platform().delayAnswers(name -> slowness(isStruck(name, Kind.PLATFORM_IS_SLOW, now)));
        site.connect((from, to) -> isStruck(from, Kind.IS_CUT_OFF, now) || isStruck(to, Kind.IS_CUT_OFF, now));
        site.delayMessages((from, _to) -> slowness(isStruck(from, Kind.MESSAGES_ARE_SLOW, now)));
    }

    private static Duration slowness(boolean struck) {
        return struck ? SLOWNESS : Duration.ZERO;
    }

    private boolean isStruck(String node, Kind kind, MonotonicTime now) {
        return all.stream()
                .anyMatch(trouble -> trouble.node().equals(node)
                        && trouble.kind() == kind
                        && !now.isBefore(trouble.from())
                        && now.isBefore(trouble.until()));
    }

    /** What befalls a node. */
    public enum Kind {
        STANDS_STILL,
        PLATFORM_IS_SILENT,
        PLATFORM_REFUSES,
        PLATFORM_IS_SLOW,
        IS_CUT_OFF,
        MESSAGES_ARE_SLOW
    }

    /** What befalls a node for a time. */
    public record Trouble(String node, Kind kind, MonotonicTime from, MonotonicTime until) {}
}
