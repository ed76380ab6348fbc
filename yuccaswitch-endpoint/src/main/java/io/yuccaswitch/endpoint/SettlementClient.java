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
 * Asks endpoints what became of a request.
 *
 * <p>To wire it, subscribe {@link #settle} to the {@link RequestEffect.Settle} effects.
 */
public final class SettlementClient {

    /** The identifiers that can't be written as a segment of a path. */
    private static final Set<String> UNWRITABLE = Set.of(".", "..");

    /** Reads documents. */
    private final ReportReader reader;

    /** Takes the answers. */
    private final Consumer<? super Event> sink;

    /**
     * Creates a new client.
     *
     * @param http The HTTP client.
     * @param sink Takes the answers, exactly one for each question.
     */
    public SettlementClient(EndpointHttp http, Consumer<? super Event> sink) {
        reader = new ReportReader(http);
        this.sink = sink;
    }

    /**
     * Asks an endpoint, without waiting for the answer.
     *
     * @param effect The question.
     */
    public void settle(RequestEffect.Settle effect) {
        HttpUrl base = HttpUrl.parse("http://" + effect.address() + "/requests");
        if (base == null || UNWRITABLE.contains(effect.id().value())) {
            answer(effect, new SettlementResult.Unanswered("not an address or identifier"));
            return;
        }
        HttpUrl url = base.newBuilder().addPathSegment(effect.id().value()).build();
        reader.read(
                url,
                document -> answer(effect, result(effect, document)),
                reason -> answer(effect, new SettlementResult.Unanswered(reason)));
    }

    /**
     * Reads an answer.
     *
     * @param effect The question.
     * @param document The answer.
     * @return The result.
     * @throws AnswerException If the answer is to another question.
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
     * Hands an answer on.
     *
     * @param effect The question.
     * @param result The result.
     */
    private void answer(RequestEffect.Settle effect, SettlementResult result) {
        sink.accept(new RequestEvent.Settled(effect.id(), effect.endpoint(), result));
    }
}
