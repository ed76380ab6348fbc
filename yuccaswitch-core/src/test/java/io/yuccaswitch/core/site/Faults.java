package io.yuccaswitch.core.site;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;

/**
 * Faults of the nodes of a site, each for a limited time. Tests examine only the time after a change, so all faults end
 * before the next change.
 *
 * @param all The faults.
 */
public record Faults(List<Fault> all) {

    /** The delay of slow answers and messages. */
    private static final Duration SLOW_DELAY = Duration.ofMillis(280);

    /** No faults. */
    public static final Faults NONE = new Faults(List.of());

    /** Draws random faults that follow each other at each node without a gap. */
    public static Faults random(Collection<String> nodes, MonotonicTime begin, Random random) {
        List<Fault> faults = new ArrayList<>();
        for (String node : nodes) {
            MonotonicTime at = begin;
            for (int i = 0; i < 4; i++) {
                Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
                MonotonicTime end = at.plus(Duration.ofMillis(800 + random.nextInt(700)));
                faults.add(new Fault(node, kind, at, end));
                at = end;
            }
        }
        return new Faults(faults);
    }

    /** Creates faults in which nodes lose the platform and freeze some time later. */
    public static Faults disconnectedThenFrozen(Collection<String> nodes, MonotonicTime lost, Duration contact) {
        List<Fault> faults = new ArrayList<>();
        MonotonicTime end = lost.plus(Duration.ofSeconds(4));
        for (String node : nodes) {
            faults.add(new Fault(node, Kind.PLATFORM_DOES_NOT_ANSWER, lost, end));
            faults.add(new Fault(node, Kind.NODE_IS_FROZEN, lost.plus(contact), end));
        }
        return new Faults(faults);
    }

    /** Injects the faults into a site from now on. */
    public void applyTo(TestSite site) {
        site.everyStep(this::injectCurrent);
        injectCurrent(site);
    }

    private void injectCurrent(TestSite site) {
        MonotonicTime now = site.now();
        site.nodes().forEach(node -> node.freeze(isActive(node.name(), Kind.NODE_IS_FROZEN, now)));
        site.platform().silenceWhere(name -> isActive(name, Kind.PLATFORM_DOES_NOT_ANSWER, now));
        site.platform().failWhere((name, _call) -> isActive(name, Kind.PLATFORM_REFUSES, now));
        site.platform().delayAnswers(name -> delayIf(isActive(name, Kind.PLATFORM_IS_SLOW, now)));
        site.connect((from, to) ->
                isActive(from, Kind.NODE_IS_DISCONNECTED, now) || isActive(to, Kind.NODE_IS_DISCONNECTED, now));
        site.delayMessages((from, _to) -> delayIf(isActive(from, Kind.MESSAGES_ARE_SLOW, now)));
    }

    private static Duration delayIf(boolean slow) {
        return slow ? SLOW_DELAY : Duration.ZERO;
    }

    private boolean isActive(String node, Kind kind, MonotonicTime now) {
        return all.stream()
                .anyMatch(fault -> fault.node().equals(node)
                        && fault.kind() == kind
                        && !now.isBefore(fault.from())
                        && now.isBefore(fault.until()));
    }

    /** The kind of a fault. */
    public enum Kind {
        NODE_IS_FROZEN,
        PLATFORM_DOES_NOT_ANSWER,
        PLATFORM_REFUSES,
        PLATFORM_IS_SLOW,
        NODE_IS_DISCONNECTED,
        MESSAGES_ARE_SLOW
    }

    /** A fault of a node during an interval. */
    public record Fault(String node, Kind kind, MonotonicTime from, MonotonicTime until) {}
}
