package io.yuccaswitch.command;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.yuccaswitch.command.configuration.RetryPauses;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class OperatorCommandsTest {

    private static final String STATUS_FORMAT =
            "{\"configuration\":{\"generation\":%d},\"requests\":{\"answered\":%d},\"shutdown\":{\"begun\":false}}";

    private static final String EXPLANATION =
            "{\"subject\":\"r-1\",\"decisions\":[{\"kind\":\"route\",\"subject\":\"r-1\",\"choice\":\"lm/e-1\","
                    + "\"reason\":\"least loaded\",\"candidates\":[{\"name\":\"lm/e-1\",\"score\":0.5}]}]}";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private final List<String> received = new CopyOnWriteArrayList<>();

    private final AtomicInteger answered = new AtomicInteger();

    private HttpServer node;

    private String address;

    private String unusedAddress;

    @BeforeEach
    void startNode() throws IOException {
        node = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        node.createContext("/", exchange -> {
            String path = exchange.getRequestURI().getRawPath();
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            received.add(exchange.getRequestMethod() + " " + path + " " + body);
            String token = String.valueOf(exchange.getRequestHeaders().getFirst("Authorization"));
            String answer =
                    path.startsWith("/explain/") ? EXPLANATION : STATUS_FORMAT.formatted(7, answered.incrementAndGet());
            byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(token.equals("Bearer secret") ? 200 : 401, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        node.start();
        address = "127.0.0.1:" + node.getAddress().getPort();
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unusedAddress = "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @AfterEach
    void stopNode() {
        node.stop(0);
    }

    @Test
    void theStatusOfEachNodeIsShownEvenIfOneIsDown() {
        assertThat(run("status", "--operator", "vm-1=" + address)).isEqualTo(ExitCode.OK);
        assertThat(text(output)).contains("vm-1 at " + address + ": running, generation in force: 7");
        assertThat(run("status", "--operator", "vm-1=" + address, "--operator", "vm-2=" + unusedAddress))
                .isEqualTo(ExitCode.UNREACHABLE);
        assertThat(text(errors)).contains("generation in force: 7").contains("vm-2 at " + unusedAddress + " cannot be");
    }

    @Test
    void aRefusalIsNotReportedAsAnUnreachableNode() {
        assertThat(run("status", "--operator", address, "--operator-token", "wrong"))
                .isEqualTo(ExitCode.FAILED);
        assertThat(text(errors)).contains("HTTP status 401");
    }

    @Test
    void decisionsAreExplainedWithTheirCandidates() {
        assertThat(run("explain", "vm-1@3/a", "--operator", "vm-1=" + address)).isEqualTo(ExitCode.OK);
        assertThat(text(output)).contains("vm-1: route -> lm/e-1: least loaded [lm/e-1=0.5]");
        assertThat(received).containsExactly("GET /explain/vm-1@3%2Fa ");
    }

    @Test
    void onlyTheNamedNodeIsDrained() {
        assertThat(run("drain", "vm-2", "--operator", "vm-1=" + address)).isEqualTo(ExitCode.INVALID);
        assertThat(received).isEmpty();
        assertThat(run("drain", "vm-1", "--operator", "vm-1=" + address)).isEqualTo(ExitCode.OK);
        assertThat(received).containsExactly("POST /drain {}");
        assertThat(run("drain", "vm-2", "--operator", "vm-2=" + unusedAddress)).isEqualTo(ExitCode.UNREACHABLE);
    }

    @Test
    void aLevelIsChangedOnAllNodesAndFailedNodesAreReported() {
        String[] arguments = {
            "log-level",
            "io.yuccaswitch",
            "debug",
            "--operator",
            "vm-1=" + address,
            "--operator",
            "vm-2=" + unusedAddress
        };
        assertThat(run(arguments)).isEqualTo(ExitCode.FAILED);
        assertThat(received).containsExactly("PUT /log-levels {\"io.yuccaswitch\":\"DEBUG\"}");
        assertThat(text(errors)).contains("vm-2 at").contains("Changed on 1 of 2 nodes.");
    }

    @Test
    void aReportPlotsTheNumbersThatChanged(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("report.html");
        ExitCode exitCode = run(
                "report",
                "--operator",
                "vm-1=" + address,
                "--samples",
                "3",
                "--interval",
                "1ms",
                "--output",
                file.toString());
        assertThat(exitCode).isEqualTo(ExitCode.OK);
        assertThat(Files.readString(file))
                .contains("<img alt=\"requests.answered\" src=\"data:image/svg+xml;base64,")
                .contains("<td>configuration.generation</td><td>7</td>")
                .doesNotContain("<img alt=\"configuration.generation\"");
    }

    private ExitCode run(String... arguments) {
        output.reset();
        errors.reset();
        CommandEnvironment environment = new CommandEnvironment(
                Map.of("YUCCASWITCH_OPERATOR_TOKEN", "secret"),
                "rina",
                InstantSource.system(),
                () -> "unused",
                _access -> {
                    throw new IllegalStateException("The platform is not called");
                },
                new RetryPauses.None());
        return new CommandLine(environment, print(output), print(errors)).run(arguments);
    }

    private static PrintStream print(ByteArrayOutputStream stream) {
        return new PrintStream(stream, true, StandardCharsets.UTF_8);
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
