package io.yuccaswitch.testkit.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.yuccaswitch.testkit.TestkitCommand;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.ObservationLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Generates load on the entry addresses and reports the results. */
@Parameters(commandDescription = "Offer open-loop load to the entry addresses and report latencies")
public final class LoadCommand implements TestkitCommand {

    /** The entry addresses to query initially. */
    @Parameter(names = "--entry", required = true, description = "Entry addresses as host:port, several with commas")
    private List<String> entryAddresses = new ArrayList<>();

    /** The file that describes the mix of requests. */
    @Parameter(names = "--mix", required = true, description = "File of the kinds of requests, JSON with comments")
    private Path mix;

    /** The rate in requests per second. */
    @Parameter(names = "--rate", description = "Requests per second")
    private double rate = 50;

    /** The duration of the load in seconds. */
    @Parameter(names = "--seconds", description = "Duration of the load in seconds")
    private int seconds = 10;

    /** The number of requests after which the load ends early. */
    @Parameter(names = "--count", description = "Number of requests after which the load ends early")
    private long count = Long.MAX_VALUE;

    /** The seed of the arrivals and the mix. */
    @Parameter(names = "--seed", description = "Seed of the arrivals and the mix")
    private long seed = 1;

    /** The maximum number of requests in flight. */
    @Parameter(names = "--maximum-in-flight", description = "Maximum number of requests in flight")
    private int maximumInFlight = 1_000;

    /** The availability zone of the caller. */
    @Parameter(names = "--availability-zone", description = "Availability zone of the caller")
    private String availabilityZone = "";

    /** The bearer token of the caller. */
    @Parameter(names = "--token", description = "Bearer token of the caller")
    private String token;

    /** The file to which the record of each attempt is written. */
    @Parameter(names = "--records", description = "File for the record of each attempt, one JSON document per line")
    private Path records;

    /** The file to which the report is written. */
    @Parameter(names = "--report", description = "File for the report; standard output if not given")
    private Path report;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "load";
    }

    /** {@inheritDoc} */
    @Override
    public void run() throws IOException {
        OpenLoop loop = new OpenLoop(LoadMix.read(mix), rate, Duration.ofSeconds(seconds), seed, maximumInFlight);
        if (records == null) {
            generate(loop, _attempt -> {});
            return;
        }
        try (ObservationLog log = new ObservationLog(records)) {
            generate(loop, log::write);
        }
    }

    /**
     * Generates the load and writes the report.
     *
     * @param loop The load to generate.
     * @param recorder The receiver of the record of each attempt.
     * @throws IOException If the report can't be written.
     */
    private void generate(OpenLoop loop, Consumer<Observation> recorder) throws IOException {
        CallerClient caller = CallerClients.create(
                entryAddresses,
                availabilityZone,
                Optional.ofNullable(token),
                "load-" + UUID.randomUUID(),
                recorder::accept);
        AtomicLong started = new AtomicLong();
        LoadReport result = loop.run(caller::call, () -> started.incrementAndGet() > count);
        String text =
                new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(result);
        if (report == null) {
            System.out.println(text);
        } else {
            Files.writeString(report, text);
        }
    }
}
