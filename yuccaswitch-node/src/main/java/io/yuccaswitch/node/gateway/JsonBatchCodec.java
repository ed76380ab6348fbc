package io.yuccaswitch.node.gateway;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.yuccaswitch.core.batch.BatchCodec;
import io.yuccaswitch.core.batch.BatchIndexEntry;
import io.yuccaswitch.core.batch.BatchItem;
import io.yuccaswitch.core.batch.BatchJob;
import io.yuccaswitch.core.batch.BatchJobId;
import io.yuccaswitch.core.batch.BatchResult;
import io.yuccaswitch.core.batch.ItemText;
import io.yuccaswitch.core.batch.ScoringRequest;
import io.yuccaswitch.core.batch.TextPart;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.jboss.logging.Logger;

/**
 * Encodes batch jobs as JSON. Outputs are stored as text if they are valid UTF-8, which is the usual case, and as
 * base64 otherwise.
 */
public final class JsonBatchCodec implements BatchCodec {

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(JsonBatchCodec.class);

    /** The prefix of event data that is stored as text. */
    private static final String TEXT_PREFIX = "t";

    /** The prefix of event data that is stored as base64. */
    private static final String BASE64_PREFIX = "b";

    /** The mapper of documents. It ignores unknown fields, so that different releases can run side by side. */
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    @Override
    public Bytes writeJob(BatchJob job) {
        return write(new JobDocument(
                job.id().value(),
                job.host(),
                job.path(),
                job.model(),
                job.minimumVersion(),
                job.submittedAt(),
                job.items().stream()
                        .map(item -> new ItemDocument(
                                item.id(),
                                item.path(),
                                item.headers(),
                                Base64.getEncoder().encodeToString(item.body().unsafeArray()),
                                item.group(),
                                item.expectedTokens(),
                                item.promptTokens(),
                                item.scoring().map(JsonBatchCodec::document).orElse(null)))
                        .toList(),
                job.wantedGroups().orElse(0),
                job.configurationVersion()));
    }

    @Override
    public Optional<BatchJob> readJob(Bytes value) {
        return read(value, JobDocument.class)
                .map(document -> new BatchJob(
                        new BatchJobId(document.id()),
                        document.host(),
                        document.path(),
                        document.model(),
                        document.minimumVersion(),
                        document.submittedAt(),
                        document.items().stream()
                                .map(item -> new BatchItem(
                                        item.id(),
                                        item.path(),
                                        item.headers(),
                                        Bytes.wrap(Base64.getDecoder().decode(item.body())),
                                        item.group(),
                                        item.expectedTokens(),
                                        item.promptTokens(),
                                        Optional.ofNullable(item.scoring()).map(JsonBatchCodec::scoringOf)))
                                .toList(),
                        document.wantedGroups() > 0 ? OptionalInt.of(document.wantedGroups()) : OptionalInt.empty(),
                        document.configurationVersion()));
    }

    @Override
    public Bytes writeEntry(BatchIndexEntry entry) {
        return write(new EntryDocument(
                entry.id().value(), entry.runner().value(), entry.ended(), entry.items(), entry.model()));
    }

    @Override
    public Optional<BatchIndexEntry> readEntry(Bytes value) {
        return read(value, EntryDocument.class)
                .map(document -> new BatchIndexEntry(
                        new BatchJobId(document.id()),
                        new NodeName(document.runner()),
                        document.ended(),
                        document.items(),
                        Optional.ofNullable(document.model()).orElse("")));
    }

    @Override
    public Bytes writeResults(List<BatchResult> results) {
        return write(new ResultsDocument(
                results.stream().map(JsonBatchCodec::document).toList()));
    }

    @Override
    public Optional<List<BatchResult>> readResults(Bytes value) {
        return read(value, ResultsDocument.class).map(document -> document.results().stream()
                .map(result -> new BatchResult(
                        result.item(),
                        result.completed(),
                        outputOf(result),
                        result.versions(),
                        Optional.ofNullable(result.score())))
                .toList());
    }

    @Override
    public Bytes writeTexts(List<TextPart> parts) {
        return write(new TextsDocument(parts.stream()
                .map(part -> new TextDocument(
                        part.item(),
                        part.beginning().isPresent() ? part.beginning().getAsInt() : null,
                        part.after(),
                        part.text().lastEventId(),
                        part.text().events().stream()
                                .map(JsonBatchCodec::encode)
                                .toList(),
                        part.text().versions()))
                .toList()));
    }

    @Override
    public Optional<List<TextPart>> readTexts(Bytes value) {
        return read(value, TextsDocument.class).map(document -> document.texts().stream()
                .map(text -> new TextPart(
                        text.item(),
                        text.beginning() == null ? OptionalInt.empty() : OptionalInt.of(text.beginning()),
                        text.after(),
                        new ItemText(
                                text.last(),
                                text.events().stream()
                                        .map(JsonBatchCodec::decode)
                                        .toList(),
                                text.versions())))
                .toList());
    }

    /**
     * Returns the document of a scoring request.
     *
     * @param request The request.
     * @return The document.
     */
    private static ScoringDocument document(ScoringRequest request) {
        return new ScoringDocument(
                request.id(),
                request.host(),
                request.path(),
                Base64.getEncoder().encodeToString(request.body().unsafeArray()));
    }

    /**
     * Returns the scoring request in a document.
     *
     * @param document The document.
     * @return The request.
     */
    private static ScoringRequest scoringOf(ScoringDocument document) {
        return new ScoringRequest(
                document.id(),
                document.host(),
                document.path(),
                Bytes.wrap(Base64.getDecoder().decode(document.body())));
    }

    /**
     * Returns the document of a result.
     *
     * @param result The result.
     * @return The document.
     */
    private static ResultDocument document(BatchResult result) {
        String text = result.output().toUtf8();
        boolean exact = Bytes.ofUtf8(text).equals(result.output());
        return new ResultDocument(
                result.item(),
                result.completed(),
                exact ? text : "",
                exact ? "" : Base64.getEncoder().encodeToString(result.output().unsafeArray()),
                result.versions(),
                result.score().orElse(null));
    }

    /**
     * Returns the output in a document.
     *
     * @param document The document.
     * @return The output.
     */
    private static Bytes outputOf(ResultDocument document) {
        return document.bytes().isEmpty()
                ? Bytes.wrap(document.text().getBytes(StandardCharsets.UTF_8))
                : Bytes.wrap(Base64.getDecoder().decode(document.bytes()));
    }

    /**
     * Encodes the data of an event as text if it is valid UTF-8 and as base64 otherwise, each with a prefix.
     *
     * @param data The data.
     * @return The text.
     */
    private static String encode(Bytes data) {
        String text = data.toUtf8();
        return Bytes.ofUtf8(text).equals(data)
                ? TEXT_PREFIX + text
                : BASE64_PREFIX + Base64.getEncoder().encodeToString(data.unsafeArray());
    }

    /**
     * Decodes the data of an event.
     *
     * @param encoded The text.
     * @return The data.
     */
    private static Bytes decode(String encoded) {
        String text = encoded.substring(1);
        return encoded.startsWith(TEXT_PREFIX)
                ? Bytes.ofUtf8(text)
                : Bytes.wrap(Base64.getDecoder().decode(text));
    }

    /**
     * Writes a document.
     *
     * @param document The document.
     * @return The bytes.
     */
    private static Bytes write(Object document) {
        try {
            return Bytes.wrap(MAPPER.writeValueAsBytes(document));
        } catch (IOException exception) {
            throw new UncheckedIOException("Failed to serialise a batch document", exception);
        }
    }

    /**
     * Reads a document.
     *
     * @param value The bytes.
     * @param type The type of the document.
     * @param <T> The type of the document.
     * @return The document, or empty if it can't be read.
     */
    private static <T> Optional<T> read(Bytes value, Class<T> type) {
        try {
            return Optional.of(MAPPER.readValue(value.unsafeArray(), type));
        } catch (IOException | IllegalArgumentException exception) {
            LOGGER.warnf("event=document-unreadable type=%s reason=\"%s\"", type.getSimpleName(), exception);
            return Optional.empty();
        }
    }

    /**
     * A job.
     *
     * @param id The identifier.
     * @param host The host of its route.
     * @param path The path of its submission.
     * @param model The model.
     * @param minimumVersion The oldest version of the weights that is allowed.
     * @param submittedAt When it was submitted, in milliseconds since the epoch.
     * @param items The items.
     * @param wantedGroups The number of wanted groups, or 0 if all are wanted.
     * @param configurationVersion The version of the route configuration under which it was accepted, absent in jobs of
     *     earlier releases.
     */
    private record JobDocument(
            String id,
            String host,
            String path,
            String model,
            long minimumVersion,
            long submittedAt,
            List<ItemDocument> items,
            int wantedGroups,
            long configurationVersion) {}

    /**
     * An item.
     *
     * @param id The identifier.
     * @param path The path.
     * @param headers The headers.
     * @param body The body in base64.
     * @param group The group.
     * @param expectedTokens The expected number of output tokens.
     * @param promptTokens The number of tokens of the prompt.
     * @param scoring The request that scores its output, or {@code null}.
     */
    private record ItemDocument(
            String id,
            String path,
            Map<String, String> headers,
            String body,
            String group,
            long expectedTokens,
            long promptTokens,
            @JsonInclude(JsonInclude.Include.NON_NULL) ScoringDocument scoring) {}

    /**
     * A scoring request.
     *
     * @param id The identifier.
     * @param host The host.
     * @param path The path.
     * @param body The body in base64.
     */
    private record ScoringDocument(String id, String host, String path, String body) {}

    /**
     * An entry of the index.
     *
     * @param id The identifier of the job.
     * @param runner The node that runs it.
     * @param ended Whether the job has ended.
     * @param items The number of its items.
     * @param model The model that generates its outputs, absent in entries of earlier releases.
     */
    private record EntryDocument(String id, String runner, boolean ended, int items, String model) {}

    /**
     * Results.
     *
     * @param results The results.
     */
    private record ResultsDocument(List<ResultDocument> results) {}

    /**
     * A result.
     *
     * @param item The identifier of the item.
     * @param completed Whether the output is complete.
     * @param text The output, if it is UTF-8.
     * @param bytes The output in base64, if it is not.
     * @param versions The versions.
     * @param score The score, or {@code null}.
     */
    private record ResultDocument(
            String item,
            boolean completed,
            String text,
            String bytes,
            List<Long> versions,
            @JsonInclude(JsonInclude.Include.NON_NULL) String score) {}

    /**
     * Parts of texts in progress.
     *
     * @param texts The parts.
     */
    private record TextsDocument(List<TextDocument> texts) {}

    /**
     * A part of a text in progress.
     *
     * @param item The identifier of the item.
     * @param beginning The number of the object that contains the beginning of the text, absent in a part that is a
     *     beginning and in parts of earlier releases.
     * @param after The identifier of the event after which the part resumes.
     * @param last The identifier of its last event.
     * @param events The data of its events.
     * @param versions The versions of the weights that produced them.
     */
    private record TextDocument(
            String item,
            @JsonInclude(JsonInclude.Include.NON_NULL) Integer beginning,
            long after,
            long last,
            List<String> events,
            List<Long> versions) {}
}
