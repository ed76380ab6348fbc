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
 * The state of a trainer that survives a restart. A batch counts as received when the state with its cursor is on disk.
 * Later records are discarded at a restart.
 *
 * @param step The step for which the trainer receives samples.
 * @param version The version that the trainer published last.
 * @param cursor The cursor, or empty before the first batch.
 * @param records The number of records that belong to this state.
 * @param acknowledgedRecords The number of records up to the latest batch that was acknowledged to the system.
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
record TrainerState(long step, long version, Optional<String> cursor, int records, int acknowledgedRecords) {

    /** The mapper of state files. */
    private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    /**
     * Returns this state after a batch was received. This acknowledges the previous batch to the system.
     *
     * @param taken The cursor that follows the batch.
     * @param written The number of records, including those of the batch.
     * @return The modified copy.
     */
    TrainerState withBatch(String taken, int written) {
        return new TrainerState(step, version, Optional.of(taken), written, records);
    }

    /**
     * Returns this state after records were written that belong to no batch.
     *
     * @param written The number of records.
     * @return The modified copy.
     */
    TrainerState withRecords(int written) {
        return new TrainerState(step, version, cursor, written, acknowledgedRecords);
    }

    /**
     * Returns this state at the next step.
     *
     * @param published The version that was published after the step.
     * @return The modified copy.
     */
    TrainerState withNextStep(long published) {
        return new TrainerState(step + 1, published, cursor, records, acknowledgedRecords);
    }

    /**
     * Returns this state without its cursor and without the batch that may not have been acknowledged to the system.
     *
     * @return The modified copy.
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
     * Atomically replaces the stored state by this state.
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
