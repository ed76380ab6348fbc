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

/** Reads what an engine generates, while it does. */
final class GenerationReader implements AnswerReader {

    /** The data of the event that ends a stream. */
    private static final String DONE = "[DONE]";

    /** The status of a generation. */
    private static final int OK = 200;

    /** The request. */
    private final Request request;

    /** The identifier that every event must bear. */
    private final String wireId;

    /** The largest answer that is accepted. */
    private final long maximumBytes;

    /** Is told what was generated so far, after each event. */
    private final Consumer<GenerationBuilder> progress;

    /** Collects what is generated. */
    private final GenerationBuilder builder;

    /** The final event, or empty if it was not seen. */
    private Optional<Chunk> ending = Optional.empty();

    /**
     * Creates a reader.
     *
     * @param request The request.
     * @param wireId The identifier that every event must bear.
     * @param resumeFrom What an earlier attempt generated, or empty to begin anew.
     * @param maximumBytes The largest answer that is accepted.
     * @param progress Is told what was generated so far, after each event.
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
        AnswerBody.requireVisibleEnd(response);
        if (response.header("Content-Type", "").startsWith("text/event-stream")) {
            readEvents(new EventStream(response.body().source()));
        } else {
            take(EngineProtocol.chunk(AnswerBody.read(response, maximumBytes)));
        }
        Chunk last = ending.orElseThrow(() -> new AnswerException(FailureCodes.CONNECTION_LOST));
        Generation generation =
                builder.finish(last.segments(), last.finishReason().orElse(""));
        Bytes body = EngineProtocol.answer(request, last.model(), generation);
        return new AttemptResult.Whole(OK, "application/json", body, Optional.of(generation));
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
     * @throws IOException If the end is not seen.
     */
    private void readEvents(EventStream events) throws IOException {
        Optional<String> data = events.next();
        while (data.isPresent() && !data.get().equals(DONE)) {
            take(EngineProtocol.chunk(Bytes.ofUtf8(data.get())));
            data = events.next();
        }
        if (data.isEmpty()) {
            throw new AnswerException(FailureCodes.CONNECTION_LOST);
        }
    }

    /**
     * Takes in a part of the answer.
     *
     * @param chunk The part.
     * @throws AnswerException If the part belongs to another answer or makes no sense.
     */
    private void take(Chunk chunk) throws AnswerException {
        if (!chunk.id().equals(wireId)) {
            throw new AnswerException(FailureCodes.CROSSED_ANSWER);
        }
        if (ending.isPresent()) {
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        }
        builder.add(chunk.text(), chunk.tokens(), chunk.version());
        if (chunk.finishReason().isPresent()) {
            ending = Optional.of(chunk);
        } else {
            progress.accept(builder);
        }
    }
}
