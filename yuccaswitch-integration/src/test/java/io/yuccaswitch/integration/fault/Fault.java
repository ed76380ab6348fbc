package io.yuccaswitch.integration.fault;

import io.yuccaswitch.integration.site.Site;
import io.yuccaswitch.integration.site.Site.Node;
import io.yuccaswitch.integration.site.Site.StandIn;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.Observation.EndpointLeft;
import io.yuccaswitch.testkit.check.Observation.NodeCrash;
import io.yuccaswitch.testkit.check.Observation.PlannedStop;
import io.yuccaswitch.testkit.check.Observation.PlatformFault;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** A fault that is injected and healed later. */
interface Fault {

    /** Returns the name of the affected component. Faults injected together have different targets. */
    String target();

    void begin();

    /** Heals the fault, and returns the observation with which the promise checker accounts for it, if any. */
    Optional<Observation> heal();

    /** Creates a randomly chosen fault. */
    static Fault draw(Site site, Random random) {
        List<Fault> faults = List.of(
                new NodeKill(pick(site.nodes(), random)),
                new NodePause(pick(site.nodes(), random)),
                new NodeStop(pick(site.nodes(), random)),
                new EndpointKill(pick(site.engines(), random)),
                new EndpointKill(pick(site.services(), random)),
                new EndpointPause(pick(site.engines(), random)),
                new EndpointLeave(pick(site.services(), random)),
                new EndpointLeave(pick(site.engines(), random)),
                new EndpointFault(pick(site.services(), random), pick(EndpointFault.SERVICE_FAULTS, random), 5),
                new EndpointFault(pick(site.engines(), random), pick(EndpointFault.ENGINE_FAULTS, random), 5),
                new EndpointFault(pick(site.engines(), random), "delay-millis", 500),
                new LinkFault(site, pick(site.services(), random).name(), pick(LinkFault.QUERIES, random)),
                new LinkFault(site, pick(site.engines(), random).name(), pick(LinkFault.QUERIES, random)),
                new PlatformControl(site.platform(), "outage?mode=error", "outage?mode=none"),
                new PlatformControl(site.platform(), "outage?mode=silent", "outage?mode=none"),
                new PlatformControl(site.platform(), "delay?millis=800", "delay?millis=0"),
                new PlatformControl(site.platform(), "replica-lag?millis=2000", "replica-lag?millis=0"),
                new PlatformControl(site.platform(), "lose-answers?writes=5", "lose-answers?writes=0"));
        return pick(faults, random);
    }

    private static <T> T pick(List<T> list, Random random) {
        return list.get(random.nextInt(list.size()));
    }

    /** A node is killed and restarted. */
    final class NodeKill implements Fault {

        private final Node node;

        private long from;

        NodeKill(Node node) {
            this.node = node;
        }

        @Override
        public String target() {
            return node.name();
        }

        @Override
        public void begin() {
            from = System.currentTimeMillis();
            node.process().kill();
        }

        @Override
        public Optional<Observation> heal() {
            node.restart();
            return Optional.of(new NodeCrash(node.name(), from, System.currentTimeMillis()));
        }

        @Override
        public String toString() {
            return "kill " + node.name();
        }
    }

    /** A node's process is paused, possibly for longer than leases and the suspicion time. */
    final class NodePause implements Fault {

        private final Node node;

        private long from;

        NodePause(Node node) {
            this.node = node;
        }

        @Override
        public String target() {
            return node.name();
        }

        @Override
        public void begin() {
            from = System.currentTimeMillis();
            node.process().pause();
        }

        @Override
        public Optional<Observation> heal() {
            node.process().resume();
            return Optional.of(new NodeCrash(node.name(), from, System.currentTimeMillis()));
        }

        @Override
        public String toString() {
            return "pause " + node.name();
        }
    }

    /** A node is stopped gracefully and restarted. */
    final class NodeStop implements Fault {

        private static final Duration TIMEOUT = Duration.ofSeconds(90);

        private final Node node;

        private long from;

        NodeStop(Node node) {
            this.node = node;
        }

        @Override
        public String target() {
            return node.name();
        }

        @Override
        public void begin() {
            from = System.currentTimeMillis();
            node.process().terminate();
        }

        @Override
        public Optional<Observation> heal() {
            node.process().awaitEnd(TIMEOUT);
            PlannedStop stop = new PlannedStop(node.name(), from, System.currentTimeMillis());
            node.restart();
            return Optional.of(stop);
        }

        @Override
        public String toString() {
            return "stop " + node.name();
        }
    }

    /** An endpoint is killed and restarted. */
    record EndpointKill(StandIn endpoint) implements Fault {

        @Override
        public String target() {
            return endpoint.name();
        }

        @Override
        public void begin() {
            endpoint.process().kill();
        }

        @Override
        public Optional<Observation> heal() {
            endpoint.restart();
            return Optional.empty();
        }

        @Override
        public String toString() {
            return "kill " + endpoint.name();
        }
    }

    /** An endpoint's process is paused. */
    record EndpointPause(StandIn endpoint) implements Fault {

        @Override
        public String target() {
            return endpoint.name();
        }

        @Override
        public void begin() {
            endpoint.process().pause();
        }

        @Override
        public Optional<Observation> heal() {
            endpoint.process().resume();
            return Optional.empty();
        }

        @Override
        public String toString() {
            return "pause " + endpoint.name();
        }
    }

    /** An endpoint leaves, and a new incarnation starts at its address. */
    final class EndpointLeave implements Fault {

        private final StandIn endpoint;

        private long from;

        EndpointLeave(StandIn endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public String target() {
            return endpoint.name();
        }

        @Override
        public void begin() {
            from = System.currentTimeMillis();
            endpoint.fault("leaving", 1);
        }

        @Override
        public Optional<Observation> heal() {
            endpoint.process().kill();
            EndpointLeft left = new EndpointLeft(endpoint.name(), from, System.currentTimeMillis());
            endpoint.restart();
            return Optional.of(left);
        }

        @Override
        public String toString() {
            return "leave " + endpoint.name();
        }
    }

    /** An endpoint fails or delays requests, or handles them incorrectly. */
    record EndpointFault(StandIn endpoint, String fault, long value) implements Fault {

        static final List<String> SERVICE_FAULTS = List.of(
                "resets-before-run",
                "resets-after-run",
                "cut-answers",
                "crossed-answers",
                "wrong-length-answers",
                "refusals");

        static final List<String> ENGINE_FAULTS = List.of(
                "resets-before-run",
                "resets-after-run",
                "cut-answers",
                "crossed-answers",
                "refusals",
                "swap-failures",
                "swap-claims",
                "unreported-versions");

        @Override
        public String target() {
            return endpoint.name();
        }

        @Override
        public void begin() {
            endpoint.fault(fault, value);
        }

        @Override
        public Optional<Observation> heal() {
            endpoint.fault(fault, 0);
            return Optional.empty();
        }

        @Override
        public String toString() {
            return fault + "=" + value + " " + endpoint.name();
        }
    }

    /** The network link to an endpoint is faulty. */
    record LinkFault(Site site, String link, String query) implements Fault {

        static final List<String> QUERIES = List.of(
                "mode=blackhole",
                "mode=refuse",
                "delayMillis=300",
                "resetAfterUp=400",
                "resetAfterDown=200",
                "cut=down",
                "cut=up");

        @Override
        public String target() {
            return link;
        }

        @Override
        public void begin() {
            site.proxy().fault(link, query);
        }

        @Override
        public Optional<Observation> heal() {
            site.proxy().fault(link, "");
            site.proxy().cutConnections(link);
            return Optional.empty();
        }

        @Override
        public String toString() {
            return "link " + link + " " + query;
        }
    }

    /** A fault of the platform, injected through the stand-in's control interface. */
    final class PlatformControl implements Fault {

        private final StandIn platform;

        private final String injectionPath;

        private final String healingPath;

        private long from;

        PlatformControl(StandIn platform, String injectionPath, String healingPath) {
            this.platform = platform;
            this.injectionPath = injectionPath;
            this.healingPath = healingPath;
        }

        @Override
        public String target() {
            return platform.name();
        }

        @Override
        public void begin() {
            from = System.currentTimeMillis();
            platform.control(injectionPath);
        }

        @Override
        public Optional<Observation> heal() {
            platform.control(healingPath);
            return Optional.of(new PlatformFault(from, System.currentTimeMillis()));
        }

        @Override
        public String toString() {
            return "platform " + injectionPath;
        }
    }
}
