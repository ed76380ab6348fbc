import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway as its own process, started with the command of the deploy file and settings as its template gives them. */
final class Gateway {
    private static final int LOWEST_PORT = 12_000;
    private static final int HIGHEST_PORT = 30_000;
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    final String name;
    final List<String> addresses = new ArrayList<>();
    final Proxy platform;
    private final Site site;
    private final double cores;
    private final List<String> extra;
    Process process;

    Gateway(Site site, String name, double cores, List<String> extra) throws Exception {
        this.site = site;
        this.name = name;
        this.cores = cores;
        this.extra = extra;
        platform = new Proxy(site.store.address());
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ServerSocket socket = free();
            sockets.add(socket);
            addresses.add("127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }

    /**
     * Binds a free port below those that the system gives to connections, so that it is still free at the start. No two
     * gateways get the same one.
     */
    private static ServerSocket free() throws Exception {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            if (!TAKEN.add(port)) {
                continue;
            }
            try {
                return new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
            } catch (BindException taken) {
                // Another port is tried.
            }
        }
    }

    String entry() {
        return addresses.get(0);
    }

    String ready() {
        return addresses.get(1);
    }

    String directory() {
        return addresses.get(2);
    }

    String peer() {
        return addresses.get(3);
    }

    void start(List<String> seeds) throws Exception {
        StringBuilder settings = new StringBuilder();
        settings.append("{\"name\":\"").append(name).append("\",\"availabilityZone\":\"zone-a\",\"region\":\"region\",");
        String[] names = {"entryAddress", "readinessAddress", "directoryAddress", "peerAddress", "metricsAddress"};
        for (int i = 0; i < names.length; i++) {
            settings.append('"').append(names[i]).append("\":\"").append(addresses.get(i)).append("\",");
        }
        settings.append("\"seeds\":").append(Json.write(seeds));
        settings.append(",\"platform\":{\"address\":\"").append(platform.address);
        settings.append("\",\"writesPerSecond\":400,\"readsPerSecond\":2000},");
        settings.append("\"scheduling\":{\"engineMemory\":true,\"sharedSpeeds\":true,\"coordinatedLoads\":true,");
        settings.append("\"admission\":true},\"processorShare\":").append(cores >= 1 ? 1.0 : cores);
        settings.append(",\"cores\":1,\"orderSafetyTime\":\"3000ms\",\"stopTime\":\"8s\"}");
        if (cores > 1) {
            int at = settings.indexOf("\"cores\":1");
            settings.replace(at, at + "\"cores\":1".length(), "\"cores\":" + cores);
        }
        Path file = site.folder.resolve(name + ".json");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>(List.of(site.command));
        command.addAll(extra);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("YUCCASWITCH_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        process = builder.start();
        site.record("started gateway " + name + ", process " + process.pid());
        Process watched = process;
        watched.onExit().thenAccept(ended -> site.record("gateway " + name + " ended with status " + ended.exitValue()));
    }

    Path log() {
        return site.folder.resolve(name + ".log");
    }

    void signal(String signal) throws Exception {
        site.record("signal " + signal + " to gateway " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
    }

    boolean isReady() {
        return Wire.call(ready(), "GET", "/v1/ready", "Host: ready\r\n", new byte[0], 1000).status() == 200;
    }

    /** Reads the command of the gateways from the deploy file. */
    static String[] command() throws Exception {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\.gateway\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("no command in the deploy file");
        }
        return run.group(1).split(" ");
    }
}
