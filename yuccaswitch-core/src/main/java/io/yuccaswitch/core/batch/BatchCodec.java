package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Optional;

/** Writes and reads what is kept of batch jobs on the platform. Reading returns empty where a value can't be read. */
public interface BatchCodec {

    /**
     * Writes a job.
     *
     * @param job The job.
     * @return The value.
     */
    Bytes writeJob(BatchJob job);

    /**
     * Reads a job.
     *
     * @param value The value.
     * @return The job.
     */
    Optional<BatchJob> readJob(Bytes value);

    /**
     * Writes an entry of the index.
     *
     * @param entry The entry.
     * @return The value.
     */
    Bytes writeEntry(BatchIndexEntry entry);

    /**
     * Reads an entry of the index.
     *
     * @param value The value.
     * @return The entry.
     */
    Optional<BatchIndexEntry> readEntry(Bytes value);

    /**
     * Writes results that are listed together.
     *
     * @param results The results, in the order of their positions.
     * @return The value.
     */
    Bytes writeResults(List<BatchResult> results);

    /**
     * Writes parts of texts in progress that are kept together.
     *
     * @param parts The parts.
     * @return The value.
     */
    Bytes writeTexts(List<TextPart> parts);

    /**
     * Reads parts of texts that were kept together.
     *
     * @param value The value.
     * @return The parts.
     */
    Optional<List<TextPart>> readTexts(Bytes value);

    /**
     * Reads results that were listed together.
     *
     * @param value The value.
     * @return The results, in the order of their positions.
     */
    Optional<List<BatchResult>> readResults(Bytes value);
}
