package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.value.Bytes;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Stores the written objects under numbers, which is all that the core needs of a codec. */
final class PlainBatchCodec implements BatchCodec {

    private final Map<String, Object> written = new HashMap<>();

    @Override
    public Bytes writeJob(BatchJob job) {
        return write(job);
    }

    @Override
    public Optional<BatchJob> readJob(Bytes value) {
        return read(value, BatchJob.class);
    }

    @Override
    public Bytes writeEntry(BatchIndexEntry entry) {
        return write(entry);
    }

    @Override
    public Optional<BatchIndexEntry> readEntry(Bytes value) {
        return read(value, BatchIndexEntry.class);
    }

    @Override
    public Bytes writeResults(List<BatchResult> results) {
        return write(new Results(results));
    }

    @Override
    public Optional<List<BatchResult>> readResults(Bytes value) {
        return read(value, Results.class).map(Results::results);
    }

    @Override
    public Bytes writeTexts(List<TextPart> parts) {
        return write(new Texts(parts));
    }

    @Override
    public Optional<List<TextPart>> readTexts(Bytes value) {
        return read(value, Texts.class).map(Texts::parts);
    }

    private Bytes write(Object document) {
        String key = "document-" + written.size();
        written.put(key, document);
        return Bytes.ofUtf8(key);
    }

    private <T> Optional<T> read(Bytes value, Class<T> type) {
        return Optional.ofNullable(written.get(value.toUtf8())).map(type::cast);
    }

    private record Texts(List<TextPart> parts) {}

    private record Results(List<BatchResult> results) {}
}
