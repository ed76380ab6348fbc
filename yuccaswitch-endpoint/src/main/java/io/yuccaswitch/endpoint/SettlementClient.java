package io.yuccaswitch.endpoint;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.SettlementResult;
import io.yuccaswitch.core.value.Bytes;
import java.util.Set;
import java.util.function.Consumer;
import okhttp3.HttpUrl;

/**
 * Queries endpoints for the outcome of a request.
 *
 * <p>To wire it, subscribe {@link #settle} to the {@link RequestEffect.Settle} effects.
 */
public final class SettlementClient {

    /** The identifiers that can't be represented as a path segment. */
    private static final Set<String> INVALID_PATH_SEGMENTS = Set.of(".", "..");

    /** Fetches JSON documents from endpoints. */
    private final ReportReader reader;

    /** Receives the results. */
    private final Consumer<? super Event> sink;

    /**
     * Creates a new client.
     *
     * @param http The HTTP client.
     * @param sink Receives the results, exactly one for each query.
     */
    public SettlementClient(EndpointHttp http, Consumer<? super Event> sink) {
        reader = new ReportReader(http);
        this.sink = sink;
    }

    /**
     * Queries an endpoint without waiting for the answer.
     *
     * @param effect The query.
     */
    public void settle(RequestEffect.Settle effect) {
        HttpUrl base = HttpUrl.parse("http://" + effect.address() + "/requests");
        if (base == null || INVALID_PATH_SEGMENTS.contains(effect.id().value())) {
            report(effect, new SettlementResult.Unanswered("invalid address or identifier"));
            return;
        }
        HttpUrl url = base.newBuilder().addPathSegment(effect.id().value()).build();
        reader.read(
                url,
                document -> report(effect, result(effect, document)),
                reason -> report(effect, new SettlementResult.Unanswered(reason)));
    }

    /**
     * Converts an answer into a result.
     *
     * @param effect The query.
     * @param document The answer.
     * @return The result.
     * @throws AnswerException If the answer belongs to another request.
     */
    private static SettlementResult result(RequestEffect.Settle effect, ObjectNode document) throws AnswerException {
        if (!document.path("requestId").asText().equals(effect.id().value())) {
            throw new AnswerException(FailureCodes.CROSSED_ANSWER);
        }
        String state = document.path("state").asText();
        if (state.equals("not-run")) {
            return new SettlementResult.NotSeen();
        }
        if (!state.equals("ran")) {
            return new SettlementResult.Unanswered("state " + state);
        }
        if (!document.path("body").isTextual()) {
            return new SettlementResult.Ran();
        }
        return new SettlementResult.Answered(
                document.path("status").asInt(),
                document.path("contentType").asText(),
                Bytes.ofUtf8(document.path("body").asText()));
    }

    /**
     * Reports the result of a query.
     *
     * @param effect The query.
     * @param result The result.
     */
    private void report(RequestEffect.Settle effect, SettlementResult result) {
        sink.accept(new RequestEvent.Settled(effect.id(), effect.endpoint(), result));
    }
}
