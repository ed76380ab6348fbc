package io.yuccaswitch.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;

/** One attempt of a request at an endpoint, which ends by exactly one result. */
final class Attempt implements Callback {

    /** The header that carries the identifier of a request. */
    static final String REQUEST_ID = "X-Request-Id";

    /** The statuses with which an endpoint may refuse a request without running it. */
    private static final Set<Integer> REFUSALS = Set.of(404, 409, 429, 503);

    /** What is to be done. */
    private final RequestEffect.Send send;

    /** The identifier that the answer must bear. */
    private final String wireId;

    /** Watches the call. */
    private final Transmission transmission;

    /** Reads the answer. */
    private final AnswerReader reader;

    /** Reads the monotonic clock. */
    private final Supplier<MonotonicTime> clock;

    /** Finds out whether the endpoint has ended. */
    private final EndpointChecks checks;

    /** Is told the incarnation of an endpoint that says that it is leaving, or an empty text. */
    private final Consumer<String> leaving;

    /** Takes the events. */
    private final FlowableEmitter<RequestEvent> emitter;

    /** Whether the attempt was cancelled. */
    private volatile boolean cancelled;

    /** Whether the attempt has ended. */
    private volatile boolean ended;

    /**
     * Creates an attempt.
     *
     * @param send What is to be done.
     * @param wireId The identifier that the answer must bear.
     * @param transmission Watches the call.
     * @param reader Reads the answer.
     * @param clock Reads the monotonic clock.
     * @param checks Finds out whether the endpoint has ended.
     * @param leaving Is told the incarnation of an endpoint that says that it is leaving, or an empty text.
     * @param emitter Takes the events.
     */
    Attempt(
            RequestEffect.Send send,
            String wireId,
            Transmission transmission,
            AnswerReader reader,
            Supplier<MonotonicTime> clock,
            EndpointChecks checks,
            Consumer<String> leaving,
            FlowableEmitter<RequestEvent> emitter) {
        this.send = send;
        this.wireId = wireId;
        this.transmission = transmission;
        this.reader = reader;
        this.clock = clock;
        this.checks = checks;
        this.leaving = leaving;
        this.emitter = emitter;
    }

    /**
     * Cancels this attempt, unless it has ended: its connection may serve another request by then.
     *
     * @param call The call of this attempt.
     */
    void cancel(Call call) {
        if (!ended) {
            cancelled = true;
            call.cancel();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(Call _call, IOException exception) {
        end(failure(exception));
    }

    /** {@inheritDoc} */
    @Override
    public void onResponse(Call call, Response response) {
        end(result(call, response));
    }

    /**
     * Ends this attempt.
     *
     * @param result The result.
     */
    void end(AttemptResult result) {
        ended = true;
        emitter.onNext(new RequestEvent.AttemptEnded(send.id(), send.attempt(), send.endpoint(), result));
        emitter.onComplete();
    }

    /**
     * Reads an answer.
     *
     * @param call The call.
     * @param response The answer.
     * @return The result of this attempt.
     */
    private AttemptResult result(Call call, Response response) {
        try {
            requireIdentity(response);
            AttemptResult result = reader.read(response);
            response.close();
            return refusal(result).orElse(result);
        } catch (IOException | RuntimeException exception) {
            call.cancel();
            transmission.closeConnection();
            response.close();
            return failure(exception);
        }
    }

    /**
     * Refuses an answer that is not surely this request's own.
     *
     * @param response The answer.
     * @throws AnswerException If the answer bears another identifier, or none.
     */
    private void requireIdentity(Response response) throws AnswerException {
        String identity = response.header(REQUEST_ID);
        if (identity == null) {
            throw new AnswerException(FailureCodes.UNIDENTIFIED_ANSWER);
        }
        if (!identity.equals(wireId)) {
            throw new AnswerException(FailureCodes.CROSSED_ANSWER);
        }
    }

    /**
     * Reads a whole answer as a refusal.
     *
     * @param result The answer.
     * @return The refusal, or empty if the endpoint did not say that nothing ran.
     */
    private Optional<AttemptResult> refusal(AttemptResult result) {
        if (!(result instanceof AttemptResult.Whole whole) || !REFUSALS.contains(whole.status())) {
            return Optional.empty();
        }
        try {
            JsonNode body = Json.parse(whole.body());
            JsonNode error = body.path("error");
            if (!error.path("ran").asText().equals("no")) {
                return Optional.empty();
            }
            boolean leaves = error.path("code").asText().equals(FailureCodes.LEAVING);
            if (leaves) {
                leaving.accept(body.path("incarnation").asText(""));
            }
            return Optional.of(new AttemptResult.NotRun(error.path("code").asText("refused"), leaves));
        } catch (AnswerException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Makes the result of a failure. Nothing ran only if no byte of the request can have left.
     *
     * @param exception The failure.
     * @return The result.
     */
    private AttemptResult failure(Exception exception) {
        String code = code(exception);
        if (!transmission.begun()) {
            return new AttemptResult.NotRun(code, false);
        }
        boolean usable = !(exception instanceof AnswerException) || code.equals(FailureCodes.CONNECTION_LOST);
        return new AttemptResult.MaybeRun(code, usable ? reader.partial() : Optional.empty(), loss(code));
    }

    /**
     * Judges what a failure says of the endpoint.
     *
     * @param code The code of the failure, after bytes had left.
     * @return What it says.
     */
    private Loss loss(String code) {
        boolean brokenOff = code.equals(FailureCodes.CANCELLED) || code.equals(FailureCodes.DEADLINE_EXCEEDED);
        return brokenOff || code.equals(FailureCodes.CONNECTION_LOST)
                ? checks.judge(send.endpoint(), send.address(), transmission, brokenOff)
                : Loss.UNUSABLE;
    }

    /**
     * Returns the code of a failure.
     *
     * @param exception The failure.
     * @return The code.
     */
    private String code(Exception exception) {
        if (exception instanceof AnswerException answer) {
            return answer.code();
        }
        if (cancelled) {
            return FailureCodes.CANCELLED;
        }
        if (!clock.get().isBefore(send.deadline())) {
            return FailureCodes.DEADLINE_EXCEEDED;
        }
        if (!(exception instanceof IOException)) {
            return FailureCodes.MALFORMED_ANSWER;
        }
        return transmission.begun() ? FailureCodes.CONNECTION_LOST : FailureCodes.CONNECT_FAILED;
    }
}
