package io.yuccaswitch.endpoint;

import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.EngineProtocol.Chunk;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import okhttp3.Response;

/** Reads the output of an engine while it is being generated. */
final class GenerationReader implements AnswerReader {

    /** The data of the event that terminates a stream. */
    private static final String DONE_MARKER = "[DONE]";

    /** The HTTP status of a successful generation. */
    private static final int OK = 200;

    /** The request. */
    private final Request request;

    /** The identifier that every event must carry. */
    private final String wireId;

    /** The maximum size of an answer. */
    private final long maximumBytes;

    /** Receives the generation so far after each event. */
    private final Consumer<GenerationBuilder> progress;

    /** Accumulates the generation. */
    private final GenerationBuilder builder;

    /** The final part of the answer, or empty if it has not been received. */
    private Optional<Chunk> finalChunk = Optional.empty();

    /**
     * Creates a reader.
     *
     * @param request The request.
     * @param wireId The identifier that every event must carry.
     * @param resumeFrom The generation of an earlier attempt to resume, or empty to start from the beginning.
     * @param maximumBytes The maximum size of an answer.
     * @param progress Receives the generation so far after each event.
     */
    GenerationReader(
            Request request,
            String wireId,
            Optional<Generation> resumeFrom,
            long maximumBytes,
            Consumer<GenerationBuilder> progress) {
        this.request = request;
        this.wireId = wireId;
        this.maximumBytes = maximumBytes;
        this.progress = progress;
        builder = new GenerationBuilder(resumeFrom, maximumBytes);
    }

    /** {@inheritDoc} */
    @Override
    public AttemptResult read(Response response) throws IOException {
        if (response.code() != OK) {
            return new AnswerReader.Plain(maximumBytes).read(response);
        }
        AnswerBody.requireDelimitedBody(response);
        if (response.header("Content-Type", "").startsWith("text/event-stream")) {
            readEvents(new EventStream(response.body().source()));
        } else {
            process(EngineProtocol.chunk(AnswerBody.read(response, maximumBytes)));
        }
        Chunk last = finalChunk.orElseThrow(() -> new AnswerException(FailureCodes.CONNECTION_LOST));
        Generation generation =
                builder.finish(last.segments(), last.finishReason().orElse(""));
        Bytes body = EngineProtocol.answer(request, last.model(), generation);
        return new AttemptResult.Complete(OK, "application/json", body, Optional.of(generation));
    }

    /** {@inheritDoc} */
    @Override
    public Optional<Generation> partial() {
        Generation partial = builder.partial();
        return partial.segments().isEmpty() ? Optional.empty() : Optional.of(partial);
    }

    /**
     * Reads events up to the end of the stream.
     *
     * @param events The events.
     * @throws IOException If the stream ends prematurely or is invalid.
     */
    private void readEvents(EventStream events) throws IOException {
        Optional<String> data = events.next();
        while (data.isPresent() && !data.get().equals(DONE_MARKER)) {
            process(EngineProtocol.chunk(Bytes.ofUtf8(data.get())));
            data = events.next();
        }
        if (data.isEmpty()) {
            throw new AnswerException(FailureCodes.CONNECTION_LOST);
        }
    }

    /**
     * Processes a part of the answer.
     *
     * @param chunk The part.
     * @throws AnswerException If the part belongs to another answer or is invalid.
     */
    private void process(Chunk chunk) throws AnswerException {
        if (!chunk.id().equals(wireId)) {
            throw new AnswerException(FailureCodes.CROSSED_ANSWER);
        }
        if (finalChunk.isPresent()) {
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        }
        builder.add(chunk.text(), chunk.tokens(), chunk.version());
        if (chunk.finishReason().isPresent()) {
            finalChunk = Optional.of(chunk);
        } else {
            progress.accept(builder);
        }
    }
}
