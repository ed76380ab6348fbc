package io.yuccaswitch.integration.site;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.ObservationLog;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.awaitility.Awaitility;

/**
 * A complete site of real processes: platform, nodes, engines, ledger endpoints, scorer and weight store, with the
 * fault proxy between the nodes and the processes that they call.
 */
public final class Site implements AutoCloseable {

    public static final String ENGINE_POOL = FleetFolder.ENGINE_POOL;

    public static final String SERVICE_POOL = FleetFolder.SERVICE_POOL;

    public static final String TRAINER = FleetFolder.TRAINER;

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(90);

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(90);

    private static final int STAND_IN_HEAP_MEGABYTES = 64;

    private static final int NODE_HEAP_MEGABYTES = 128;

    private final Path folder;

    private final SiteShape shape;

    private final List<ManagedProcess> processes = new ArrayList<>();

    private final Map<String, StandIn> standIns = new LinkedHashMap<>();

    private final Map<String, Node> nodes = new LinkedHashMap<>();

    private final FleetFolder fleet;

    private final FaultProxy proxy;

    public Site(Path folder, SiteShape shape) {
        this.folder = folder;
        this.shape = shape;
        fleet = new FleetFolder(shape);
        try {
            Files.createDirectories(folder);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        proxy = new FaultProxy();
    }

    /** Starts all processes, applies the configuration and waits until each node is ready. */
    public static Site start(Path folder, SiteShape shape) {
        Site site = new Site(folder, shape);
        try {
            site.startStandIns();
            site.applyFolder();
            site.startNodes();
            return site;
        } catch (RuntimeException exception) {
            site.close();
            throw exception;
        }
    }

    public SiteShape shape() {
        return shape;
    }

    /** Returns a new folder for a site's settings, logs and observations. */
    public static Path newFolder(String name) {
        return Jars.root().resolve("run").resolve("integration").resolve(name + "-" + System.currentTimeMillis());
    }

    public Path folder() {
        return folder;
    }

    /** Registers a process that ends when the site is closed. */
    void manage(ManagedProcess process) {
        processes.add(process);
    }

    public FaultProxy proxy() {
        return proxy;
    }

    public StandIn platform() {
        return standIns.get("platform");
    }

    public StandIn standIn(String name) {
        return standIns.get(name);
    }

    public List<StandIn> engines() {
        return standInsWithPrefix("engine-");
    }

    public List<StandIn> services() {
        return standInsWithPrefix("ledger-");
    }

    public List<Node> nodes() {
        return List.copyOf(nodes.values());
    }

    public List<String> entryAddresses() {
        return nodes.values().stream().map(Node::entryAddress).toList();
    }

    private List<StandIn> standInsWithPrefix(String prefix) {
        return standIns.values().stream()
                .filter(standIn -> standIn.name().startsWith(prefix))
                .toList();
    }

    private void startStandIns() {
        standIn("platform", "platform", List.of());
        StandIn store = standIn("weight-store", "weight-store", List.of());
        for (int index = 1; index <= shape.engines(); index++) {
            standIn("engine-" + index, "engine", engineArguments("engine-" + index, store));
        }
        for (int index = 1; index <= shape.services(); index++) {
            String name = "ledger-" + index;
            List<String> arguments = new ArrayList<>(
                    List.of("--name", name, "--observations", observations(name).toString()));
            if (shape.settlesRequests()) {
                arguments.add("--settles-requests");
            }
            standIn(name, "service", arguments);
        }
        standIn("scorer-1", "scorer", List.of());
        standIns.values().forEach(standIn -> standIn.process().awaitLog("listening address="));
        processes.add(
                proxy.start(folder, standIns.values(), shape.availabilityZones().size()));
        fleet.pool(ENGINE_POOL, "engine", addresses(engines()))
                .put("fencing", shape.engineFencing() ? "checked" : "ignored");
        fleet.pool(SERVICE_POOL, "service", addresses(services())).put("settlesRequests", shape.settlesRequests());
        fleet.pool(FleetFolder.SCORER_POOL, "service", addresses(standInsWithPrefix("scorer-")));
        fleet.trainer(shape.stalenessBound());
        fleet.weightStore(store.address());
    }

    private List<String> engineArguments(String name, StandIn store) {
        List<String> arguments = new ArrayList<>(List.of(
                "--name",
                name,
                "--observations",
                observations(name).toString(),
                "--models",
                TRAINER + "=0",
                "--iteration-base-micros",
                Integer.toString(shape.iterationMicros()),
                "--iteration-request-micros",
                "50",
                "--median-tokens",
                Integer.toString(shape.medianTokens()),
                "--weight-store",
                store.address()));
        if (shape.engineFencing()) {
            arguments.add("--check-fencing");
        }
        return arguments;
    }

    private Map<String, String> addresses(List<StandIn> endpoints) {
        Map<String, String> addresses = new LinkedHashMap<>();
        endpoints.forEach(endpoint -> addresses.put(endpoint.name(), proxy.addressOf(endpoint.name())));
        return addresses;
    }

    private StandIn standIn(String name, String subcommand, List<String> arguments) {
        int port = Ports.reserve();
        List<String> all = new ArrayList<>(List.of(subcommand, "--port", Integer.toString(port)));
        all.addAll(arguments);
        ManagedProcess process = ManagedProcess.java(name, folder, STAND_IN_HEAP_MEGABYTES, Jars.testkit(), all);
        processes.add(process);
        StandIn standIn = new StandIn(name, "127.0.0.1:" + port, process);
        standIns.put(name, standIn);
        return standIn;
    }

    private void startNodes() {
        int index = 0;
        for (String zone : shape.availabilityZones()) {
            index++;
            nodes.put("vm-" + index, prepareNode("vm-" + index, zone, index - 1));
        }
        nodes.values().forEach(Node::writeSettings);
        for (Node node : nodes.values()) {
            node.launch();
            processes.add(node.process());
        }
        nodes.values().forEach(Node::awaitReady);
        awaitMembers();
    }

    private Node prepareNode(String name, String zone, int index) {
        return new Node(name, zone, folder, proxy.platformAddress(index), nodes.values());
    }

    /** Waits until each node lists the entry addresses of all nodes. */
    private void awaitMembers() {
        for (Node node : nodes.values()) {
            Awaitility.await(node.name() + " to list all entry addresses")
                    .atMost(READY_TIMEOUT)
                    .pollInterval(Duration.ofMillis(100))
                    .until(() -> Http.get(node.entryAddress(), "/v1/entry-addresses")
                            .map(listing -> listing.path("addresses").size() == nodes.size())
                            .orElse(false));
        }
    }

    /** Applies the configuration folder with the operators' command. */
    public void applyFolder() {
        CommandResult result = apply(fleet.write(folder.resolve("configuration")));
        if (result.exitCode() != 0) {
            throw new IllegalStateException("apply failed: " + result);
        }
    }

    /** Applies a configuration that differs from the previous ones only in the weight of a caller. */
    public CommandResult applyChange(String author, int callerWeight) {
        FleetFolder changed = fleet;
        synchronized (changed) {
            changed.callerWeight(callerWeight);
            return apply(changed.write(folder.resolve("configuration-" + author)));
        }
    }

    private CommandResult apply(Path configuration) {
        return command(
                "apply", configuration.toString(), "--platform", platform().address(), "--json");
    }

    /** Runs the operators' command. */
    public CommandResult command(String... arguments) {
        return CommandResult.run(List.of(arguments));
    }

    /** Stops all nodes gracefully, one after the other. */
    public void stopNodes() {
        for (Node node : nodes.values()) {
            if (node.process().alive()) {
                node.process().terminate();
                node.process().awaitEnd(STOP_TIMEOUT);
            }
        }
    }

    /** Returns the file in which an endpoint or caller records its observations. */
    public Path observations(String name) {
        return folder.resolve(name + ".observations");
    }

    /** Reads all observations. */
    public List<Observation> observations() {
        List<Observation> all = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(file -> file.toString().endsWith(".observations"))
                    .toList()) {
                all.addAll(ObservationLog.read(file));
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return all;
    }

    @Override
    public void close() {
        for (int index = processes.size() - 1; index >= 0; index--) {
            processes.get(index).close();
        }
    }

    /** A stand-in and its direct address, which bypasses the proxy. */
    public record StandIn(String name, String address, ManagedProcess process) {

        /** Injects a fault. */
        public void fault(String fault, long value) {
            ObjectNode body = JsonNodeFactory.instance.objectNode().put(fault, value);
            Http.post(address, "/control/faults", body.toString());
        }

        /** Posts to the control interface of the platform stand-in. */
        public void control(String pathAndQuery) {
            Http.post(address, "/control/" + pathAndQuery, "");
        }

        public void restart() {
            process.start();
            Awaitility.await(name + " to listen").atMost(READY_TIMEOUT).until(() -> Http.get(address, "/load")
                    .isPresent());
        }
    }

    /** A node of the system. */
    public static final class Node {

        private final String name;

        private final String availabilityZone;

        private final Path folder;

        private final String platformAddress;

        private final List<String> seeds;

        private final String entryAddress = "127.0.0.1:" + Ports.reserve();

        private final String peerAddress = "127.0.0.1:" + Ports.reserve();

        private final String operatorAddress = "127.0.0.1:" + Ports.reserve();

        private ManagedProcess process;

        Node(String name, String availabilityZone, Path folder, String platformAddress, Iterable<Node> earlier) {
            this.name = name;
            this.availabilityZone = availabilityZone;
            this.folder = folder;
            this.platformAddress = platformAddress;
            seeds = new ArrayList<>();
            earlier.forEach(node -> seeds.add(node.peerAddress));
        }

        void writeSettings() {
            ObjectNode settings = JsonNodeFactory.instance
                    .objectNode()
                    .put("name", name)
                    .put("site", "padma-small")
                    .put("availabilityZone", availabilityZone)
                    .put("entryAddress", entryAddress)
                    .put("peerAddress", peerAddress)
                    .put("operatorAddress", operatorAddress);
            seeds.forEach(settings.withArray("/seeds")::add);
            settings.putObject("platform").put("address", platformAddress);
            try {
                Path target = Files.createDirectories(folder.resolve(name + "-settings"));
                Files.writeString(target.resolve("10-node.json"), settings.toPrettyString());
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }

        void launch() {
            process = ManagedProcess.java(
                    name,
                    folder,
                    NODE_HEAP_MEGABYTES,
                    Jars.node(),
                    List.of("--settings", folder.resolve(name + "-settings").toString()));
        }

        public String name() {
            return name;
        }

        public String availabilityZone() {
            return availabilityZone;
        }

        public String entryAddress() {
            return entryAddress;
        }

        public String operatorAddress() {
            return operatorAddress;
        }

        public ManagedProcess process() {
            return process;
        }

        /** Restarts the node and waits until it is ready. */
        public void restart() {
            process.start();
            awaitReady();
        }

        public void awaitReady() {
            Awaitility.await(name + " to be ready")
                    .atMost(READY_TIMEOUT)
                    .pollInterval(Duration.ofMillis(100))
                    .failFast(name + " ended", () -> !process.alive())
                    .until(() -> Http.get(operatorAddress, "/readyz").isPresent());
        }

        public Optional<JsonNode> status() {
            return Http.get(operatorAddress, "/status");
        }
    }
}
