package io.yuccaswitch.testkit.trainer;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.yuccaswitch.testkit.TestkitCommand;
import io.yuccaswitch.testkit.check.Observation;
import io.yuccaswitch.testkit.check.ObservationLog;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The subcommand that runs the trainer stand-in. It fails if a sample is a duplicate, too stale or not labelled, or if
 * a group is incomplete.
 */
@Parameters(commandDescription = "Trains on samples, and checks that each arrives once, fresh and labelled.")
public final class TrainerCommand implements TestkitCommand {

    /** The options of the stand-in. */
    @ParametersDelegate
    private final TrainerOptions options = new TrainerOptions();

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "trainer";
    }

    /** {@inheritDoc} */
    @Override
    public void run() throws IOException, InterruptedException {
        Optional<TrainerState> saved = Optional.ofNullable(options.state).flatMap(TrainerState::read);
        TrainerState state = saved.map(read -> options.forgetCursor ? read.withoutCursor() : read)
                .orElseGet(() -> new TrainerState(0, options.firstVersion, Optional.empty(), 0, 0));
        if (options.records == null) {
            train(state, List.of(), _observation -> {});
            return;
        }
        List<Observation> earlier =
                saved.isPresent() && Files.exists(options.records) ? ObservationLog.read(options.records) : List.of();
        List<Observation> before = earlier.subList(0, Math.min(state.records(), earlier.size()));
        Files.deleteIfExists(options.records);
        try (ObservationLog log = new ObservationLog(options.records)) {
            before.forEach(log::write);
            train(state, before, log::write);
        }
    }

    /**
     * Trains and writes the report.
     *
     * @param state The state from which to resume.
     * @param before The records that belong to the state.
     * @param recorder The receiver of further records.
     * @throws IOException If a file can't be read or written.
     * @throws InterruptedException If the thread is interrupted.
     */
    private void train(TrainerState state, List<Observation> before, Consumer<Observation> recorder)
            throws IOException, InterruptedException {
        List<String> prompts = Files.readAllLines(options.prompts).stream()
                .filter(line -> !line.isBlank())
                .toList();
        TrainerReport report = new TrainerRun(options, prompts, state, before, recorder).run();
        String text =
                new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(report);
        if (options.report == null) {
            System.out.println(text);
        } else {
            Files.writeString(options.report, text);
        }
        if (!report.passed()) {
            throw new IllegalStateException("samples violate the promises of the system: " + text);
        }
    }
}
