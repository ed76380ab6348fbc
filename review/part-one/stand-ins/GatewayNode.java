import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway as a separate process, with the command of the deploy file and the settings of its template. */
final class GatewayNode implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("\\[roles\\.gateway\\]\\s*run = \"([^\"]*)\"");

    /** Free ports are sought below those that the system gives to outgoing connections. */
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(20_000 + new java.util.Random().nextInt(10_000));

    final String name;
    private final List<String> addresses = new ArrayList<>();
    private final Path folder;
    private Process process;

    GatewayNode(String name, Path folder) throws IOException {
        this.name = name;
        this.folder = folder;
        while (addresses.size() < 5) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                addresses.add("127.0.0.1:" + socket.getLocalPort());
            } catch (IOException exception) {
                // Another process listens there.
            }
        }
    }

    String entry() {
        return addresses.get(0);
    }

    String readiness() {
        return addresses.get(1);
    }

    String directory() {
        return addresses.get(2);
    }

    String peer() {
        return addresses.get(3);
    }

    void start(String store, List<String> seeds) throws IOException {
        ObjectNode settings = Wire.JSON.createObjectNode();
        settings.put("name", name).put("availabilityZone", "zone-a").put("region", "region-a");
        settings.put("entryAddress", entry()).put("readinessAddress", readiness());
        settings.put("directoryAddress", directory()).put("peerAddress", peer());
        settings.put("metricsAddress", addresses.get(4));
        settings.set("seeds", Wire.JSON.valueToTree(seeds));
        settings.putObject("platform").put("address", store).put("writesPerSecond", 400).put("readsPerSecond", 2000);
        settings.putObject("scheduling")
                .put("engineMemory", true)
                .put("sharedSpeeds", true)
                .put("coordinatedLoads", true)
                .put("admission", true);
        settings.put("processorShare", 0.75).put("cores", 1).put("orderSafetyTime", "3000ms").put("stopTime", "8s");
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings.toString());
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command of the gateway in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().putAll(Map.of("YUCCASWITCH_CONFIG", file.toString()));
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        process = builder.start();
    }

    boolean isReady() {
        try {
            return Wire.call(readiness(), "GET", "/v1/ready", Map.of("Host", "x"), new byte[0], 1000).status() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    /** Returns whether the gateway names so many entry addresses. */
    boolean knows(int count) throws IOException {
        Wire.Answer answer = Wire.call(
                directory(), "GET", "/v1/resolve?name=x&region=region-a&zone=zone-a", Map.of("Host", "x"), new byte[0], 1000);
        return Wire.JSON.readTree(answer.body()).path("addresses").size() == count;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process, as a loss of its machine does. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            kill();
        }
    }
}
