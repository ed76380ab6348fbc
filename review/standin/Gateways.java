package review;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Gateways as processes, started with the command of the deploy file. */
final class Gateways implements AutoCloseable {

    private static final int LOWEST_PORT = 15000;
    private static final int HIGHEST_PORT = 32000;
    private static final Set<Integer> TAKEN = new HashSet<>();
    private static final Pattern COMMAND = Pattern.compile("\\[roles\\.gateway]\\s+run = \"([^\"]+)\"");

    /** A gateway. */
    static final class Gateway {

        final String name;
        final String entry;
        final String ready;
        final String directory;
        final String peer;
        private final String metrics;
        private final Path settings;
        private volatile Process process;

        private Gateway(String name, Path folder, List<Integer> ports) {
            this.name = name;
            entry = "127.0.0.1:" + ports.get(0);
            ready = "127.0.0.1:" + ports.get(1);
            directory = "127.0.0.1:" + ports.get(2);
            peer = "127.0.0.1:" + ports.get(3);
            metrics = "127.0.0.1:" + ports.get(4);
            settings = folder.resolve(name + ".json");
        }

        boolean isReady() {
            Http.Answer answer = Http.call(ready, "GET", "/v1/ready", java.util.Map.of("Host", ready), new byte[0], 1000);
            return answer != null && answer.status() == 200;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String signal) throws IOException, InterruptedException {
            Record.write("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
        }

        String log() throws IOException {
            return Files.readString(settings.resolveSibling(name + ".log"));
        }
    }

    final List<Gateway> all = new ArrayList<>();
    private final Path checkout;
    private final Path folder;

    Gateways(Path checkout, Path folder) {
        this.checkout = checkout;
        this.folder = folder;
    }

    Gateway add(String zone, String storeAddress) throws IOException {
        Gateway gateway = new Gateway("edge-" + (all.size() + 1), folder, freePorts(5));
        all.add(gateway);
        List<String> seeds = new ArrayList<>();
        all.stream().limit(3).forEach(seed -> seeds.add('"' + seed.peer + '"'));
        // The settings of deploy/node.json.template, with the values of a small deployment.
        Files.writeString(
                gateway.settings,
                "{\"name\":\"" + gateway.name + "\",\"availabilityZone\":\"" + zone + "\",\"region\":\"region-a\","
                        + "\"entryAddress\":\"" + gateway.entry + "\",\"readinessAddress\":\"" + gateway.ready + "\","
                        + "\"directoryAddress\":\"" + gateway.directory + "\",\"peerAddress\":\"" + gateway.peer
                        + "\",\"metricsAddress\":\"" + gateway.metrics + "\",\"seeds\":[" + String.join(",", seeds)
                        + "],\"platform\":{\"address\":\"" + storeAddress
                        + "\",\"writesPerSecond\":400,\"readsPerSecond\":2000},"
                        + "\"scheduling\":{\"engineMemory\":true,\"sharedSpeeds\":true,\"coordinatedLoads\":true,"
                        + "\"admission\":true},\"processorShare\":0.75,\"cores\":1,\"orderSafetyTime\":\"3000ms\","
                        + "\"stopTime\":\"8s\"}");
        return gateway;
    }

    void start(Gateway gateway) throws IOException {
        Matcher command = COMMAND.matcher(Files.readString(checkout.resolve("deploy/system.toml")));
        if (!command.find()) {
            throw new IOException("deploy/system.toml has no command for the gateway");
        }
        ProcessBuilder builder = new ProcessBuilder(command.group(1).split(" ", -1));
        builder.directory(checkout.toFile());
        builder.environment().put("YUCCASWITCH_CONFIG", gateway.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                gateway.settings.resolveSibling(gateway.name + ".log").toFile()));
        gateway.process = builder.start();
        Record.write("start " + gateway.name + " pid " + gateway.process.pid() + " entry " + gateway.entry);
    }

    /** Kills all gateways, and waits until they have ended. */
    void killAll() {
        close();
        Record.write("all gateways were killed");
    }

    void startAll() throws IOException {
        for (Gateway gateway : all) {
            start(gateway);
        }
    }

    void awaitReady(int seconds) throws IOException, InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (!all.stream().allMatch(Gateway::isReady)) {
            if (System.nanoTime() > end) {
                throw new IOException("not all gateways became ready");
            }
            Thread.sleep(100);
        }
        Record.write("all gateways are ready");
    }

    @Override
    public void close() {
        for (Gateway gateway : all) {
            Process process = gateway.process;
            if (process != null) {
                process.destroyForcibly().onExit().join();
            }
        }
    }

    /** Returns free ports below the range from which the system takes the ports of outgoing connections. */
    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (TAKEN.add(socket.getLocalPort())) {
                    ports.add(port);
                }
            } catch (BindException exception) {
                // Another process has it: try the next one.
            }
        }
        return ports;
    }
}
