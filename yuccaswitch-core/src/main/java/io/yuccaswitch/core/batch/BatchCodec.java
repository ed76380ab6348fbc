package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Optional;

/**
 * Encodes and decodes the objects of batch jobs that are stored on the platform. Reading returns empty if a value can't
 * be decoded.
 */
public interface BatchCodec {

    /**
     * Encodes a job.
     *
     * @param job The job.
     * @return The value.
     */
    Bytes writeJob(BatchJob job);

    /**
     * Decodes a job.
     *
     * @param value The value.
     * @return The job.
     */
    Optional<BatchJob> readJob(Bytes value);

    /**
     * Encodes an index entry.
     *
     * @param entry The entry.
     * @return The value.
     */
    Bytes writeEntry(BatchIndexEntry entry);

    /**
     * Decodes an index entry.
     *
     * @param value The value.
     * @return The entry.
     */
    Optional<BatchIndexEntry> readEntry(Bytes value);

    /**
     * Encodes results that are listed in one object.
     *
     * @param results The results, in the order of their positions.
     * @return The value.
     */
    Bytes writeResults(List<BatchResult> results);

    /**
     * Encodes parts of texts in progress that are stored in one object.
     *
     * @param parts The parts.
     * @return The value.
     */
    Bytes writeTexts(List<TextPart> parts);

    /**
     * Decodes parts of texts that were stored in one object.
     *
     * @param value The value.
     * @return The parts.
     */
    Optional<List<TextPart>> readTexts(Bytes value);

    /**
     * Decodes results that were listed in one object.
     *
     * @param value The value.
     * @return The results, in the order of their positions.
     */
    Optional<List<BatchResult>> readResults(Bytes value);
}
