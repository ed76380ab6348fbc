package io.yuccaswitch.soak;

import io.yuccaswitch.adapter.LoopbackAddresses;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway that runs in a checkout with the command of its deploy file. */
final class GatewayCommand implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("\\[roles\\.gateway]\\s+run = \"([^\"]+)\"");
    private static final int ADDRESSES = 5;
    private static final int PEER = 3;

    private final Path checkout;
    private final Path settings;
    private final List<String> addresses;
    private Process process;

    GatewayCommand(Path checkout, Path folder, int number, String store, List<String> seeds) throws IOException {
        this.checkout = checkout;
        addresses = LoopbackAddresses.allocate(ADDRESSES);
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
        Matcher run = RUN.matcher(Files.readString(checkout.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("The deploy file has no command for gateways");
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
        return addresses.get(PEER);
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
