package io.yuccaswitch.integration.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** A trainer process that records every sample it receives. */
public final class Training {

    private static final Duration TIMEOUT = Duration.ofMinutes(3);

    private static final int HEAP_MEGABYTES = 64;

    private final ManagedProcess process;

    private Training(ManagedProcess process) {
        this.process = process;
    }

    /** Starts a trainer that runs until {@link #finish(Site)} is called. */
    public static Training start(Site site) {
        return start(site, 1_000_000);
    }

    /** Starts a trainer that ends after a number of steps. */
    public static Training start(Site site, int steps) {
        Path prompts = Jars.root().resolve("examples").resolve("prompts.txt");
        ManagedProcess process = ManagedProcess.java(
                "trainer",
                site.folder(),
                HEAP_MEGABYTES,
                Jars.testkit(),
                List.of(
                        "trainer",
                        "--entry",
                        String.join(",", site.entryAddresses()),
                        "--trainer",
                        Site.TRAINER,
                        "--prompts",
                        prompts.toString(),
                        "--steps",
                        Integer.toString(steps),
                        "--records",
                        site.observations("trainer").toString(),
                        "--state",
                        site.folder().resolve("trainer-state").toString(),
                        "--finish-file",
                        finishFile(site).toString()));
        site.manage(process);
        return new Training(process);
    }

    private static Path finishFile(Site site) {
        return site.folder().resolve("trainer-finish");
    }

    public ManagedProcess process() {
        return process;
    }

    /** Waits until the trainer ends, and returns its exit code. */
    public int awaitEnd() {
        return process.awaitEnd(TIMEOUT);
    }

    /** Requests that the trainer ends after its current step, and returns its exit code. */
    public int finish(Site site) {
        try {
            Files.writeString(finishFile(site), "");
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return awaitEnd();
    }
}
