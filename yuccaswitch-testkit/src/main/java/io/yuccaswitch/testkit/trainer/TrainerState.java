package io.yuccaswitch.testkit.trainer;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;

/**
 * What a trainer keeps over a restart. A batch counts as taken once the state with its cursor is on disk; records
 * behind it are cut off at a restart.
 *
 * @param step The step that the trainer takes samples for.
 * @param version The version that the trainer published last.
 * @param cursor The cursor, or empty before the first batch.
 * @param records The number of records up to this state.
 * @param acknowledgedRecords The number of records up to the latest batch that the system knows to be taken.
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
record TrainerState(long step, long version, Optional<String> cursor, int records, int acknowledgedRecords) {

    /** The mapper of state files. */
    private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    /**
     * Returns this state after a batch was taken. The batch before is then known to the system.
     *
     * @param taken The cursor after the batch.
     * @param written The number of records, those of the batch included.
     * @return The changed state.
     */
    TrainerState withBatch(String taken, int written) {
        return new TrainerState(step, version, Optional.of(taken), written, records);
    }

    /**
     * Returns this state after records were written that belong to no batch.
     *
     * @param written The number of records.
     * @return The changed state.
     */
    TrainerState withRecords(int written) {
        return new TrainerState(step, version, cursor, written, acknowledgedRecords);
    }

    /**
     * Returns this state at the next step.
     *
     * @param published The version that was published after the step.
     * @return The changed state.
     */
    TrainerState withNextStep(long published) {
        return new TrainerState(step + 1, published, cursor, records, acknowledgedRecords);
    }

    /**
     * Returns this state without its cursor and without the batch that the system may not know to be taken.
     *
     * @return The changed state.
     */
    TrainerState withoutCursor() {
        return new TrainerState(step, version, Optional.empty(), acknowledgedRecords, acknowledgedRecords);
    }

    /**
     * Reads a state.
     *
     * @param file The file.
     * @return The state, or empty if there is no file.
     */
    static Optional<TrainerState> read(Path file) {
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readValue(file.toFile(), TrainerState.class));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Writes this state in place of the one before.
     *
     * @param file The file.
     */
    void write(Path file) {
        try {
            Path next = file.resolveSibling(file.getFileName() + ".next");
            MAPPER.writeValue(next.toFile(), this);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
