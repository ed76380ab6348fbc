package io.yuccaswitch.soak;

import io.yuccaswitch.adapter.LoopbackAddresses;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process that is started in a checkout with the run command of its deploy file. */
final class GatewayCommand implements AutoCloseable {

    private static final Pattern RUN_COMMAND = Pattern.compile("\\[roles\\.gateway]\\s+run = \"([^\"]+)\"");
    private static final int ADDRESS_COUNT = 5;
    private static final int PEER_ADDRESS_INDEX = 3;

    private final Path checkout;
    private final Path settings;
    private final List<String> addresses;
    private Process process;

    GatewayCommand(Path checkout, Path folder, int number, String store, List<String> seeds) throws IOException {
        this.checkout = checkout;
        addresses = LoopbackAddresses.allocate(ADDRESS_COUNT);
        String name = "node-" + number;
        settings = folder.resolve(name + ".json");
        Files.writeString(
                settings,
                "{\"name\":\"" + name + "\",\"availabilityZone\":\"zone-a\",\"entryAddress\":\"" + addresses.get(0)
                        + "\",\"readinessAddress\":\"" + addresses.get(1) + "\",\"directoryAddress\":\""
                        + addresses.get(2) + "\",\"peerAddress\":\"" + peerAddress() + "\",\"metricsAddress\":\""
                        + addresses.get(4) + "\",\"seeds\":["
                        + String.join(
                                ",",
                                seeds.stream().map(seed -> '"' + seed + '"').toList())
                        + "],\"platform\":{\"address\":\"" + store + "\"}}");
    }

    void start() throws IOException {
        Matcher run = RUN_COMMAND.matcher(Files.readString(checkout.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("deploy/system.toml has no run command for the gateway role");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ", -1));
        builder.directory(checkout.toFile());
        builder.environment().put("YUCCASWITCH_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                settings.resolveSibling(settings.getFileName() + ".log").toFile());
        process = builder.start();
    }

    String peerAddress() {
        return addresses.get(PEER_ADDRESS_INDEX);
    }

    long pid() {
        return process.pid();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
