package io.yuccaswitch.testkit.check;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * A file of observations, with one JSON document per line. A killed process may leave an incomplete line, which readers
 * skip.
 */
public final class ObservationLog implements AutoCloseable {

    /** The mapper of observations. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The writer of the file. */
    private final BufferedWriter writer;

    /**
     * Opens a file for appending, and creates it if it does not exist. The first write is a line break, which
     * terminates an incomplete line of a killed process.
     *
     * @param file The file.
     */
    public ObservationLog(Path file) {
        try {
            writer = Files.newBufferedWriter(
                    file, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            writer.write('\n');
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Appends an observation.
     *
     * @param observation The observation.
     */
    public synchronized void write(Observation observation) {
        try {
            writer.write(MAPPER.writeValueAsString(observation));
            writer.write('\n');
            writer.flush();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void close() {
        try {
            writer.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Reads a file of observations.
     *
     * @param file The file.
     * @return The observations.
     * @throws IOException If the file can't be read.
     */
    public static List<Observation> read(Path file) throws IOException {
        List<Observation> observations = new ArrayList<>();
        for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
            if (line.endsWith("}")) {
                observations.add(MAPPER.readValue(line, Observation.class));
            }
        }
        return observations;
    }
}
