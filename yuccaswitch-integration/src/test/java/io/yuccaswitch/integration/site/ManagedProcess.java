package io.yuccaswitch.integration.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;

/** A process that a test starts, pauses, ends and restarts by its process id. */
public final class ManagedProcess implements AutoCloseable {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(90);

    private static final Duration END_TIMEOUT = Duration.ofSeconds(10);

    private final String name;

    private final List<String> command;

    private final Path log;

    private Process process;

    ManagedProcess(String name, Path folder, List<String> command) {
        this.name = name;
        this.command = List.copyOf(command);
        log = folder.resolve(name + ".log");
        start();
    }

    /** Runs one of the packaged binaries with a small heap. */
    static ManagedProcess java(String name, Path folder, int heapMegabytes, Path jar, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMegabytes + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-jar",
                jar.toString()));
        command.addAll(arguments);
        return new ManagedProcess(name, folder, command);
    }

    /** Starts the process, or restarts it after it has ended. */
    public void start() {
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    public String name() {
        return name;
    }

    public boolean alive() {
        return process.isAlive();
    }

    public long pid() {
        return process.pid();
    }

    /** Waits until the log contains a text. */
    public void awaitLog(String text) {
        Awaitility.await(name + " to print '" + text + "'")
                .atMost(START_TIMEOUT)
                .pollInterval(Duration.ofMillis(50))
                .failFast(name + " ended: see " + log, () -> !process.isAlive())
                .until(() -> log().contains(text));
    }

    public String log() {
        try {
            return Files.exists(log) ? Files.readString(log, StandardCharsets.UTF_8) : "";
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Kills the process and waits for its end. */
    public void kill() {
        process.destroyForcibly();
        awaitEnd(END_TIMEOUT);
    }

    /** Requests a graceful stop without waiting for it. */
    public void terminate() {
        process.destroy();
    }

    /** Waits for the end of the process and returns its exit code. */
    public int awaitEnd(Duration timeout) {
        try {
            if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(name + " did not end within " + timeout + ": see " + log);
            }
            return process.exitValue();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }

    public void pause() {
        signal("STOP");
    }

    public void resume() {
        signal("CONT");
    }

    private void signal(String signal) {
        try {
            int code = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (code != 0 && process.isAlive()) {
                throw new IllegalStateException("Could not send " + signal + " to " + name);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        awaitEnd(END_TIMEOUT);
    }
}
