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
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;

/** A single attempt to run a request at an endpoint, which ends with exactly one result. */
final class Attempt implements Callback {

    /** The header that carries the identifier of a request. */
    static final String REQUEST_ID = "X-Request-Id";

    /** The HTTP statuses with which an endpoint may reject a request without running it. */
    private static final Set<Integer> REFUSAL_STATUSES = Set.of(404, 409, 429, 503);

    /** The attempt to carry out. */
    private final RequestEffect.Send send;

    /** The identifier that the answer must carry. */
    private final String wireId;

    /** Tracks the progress of the call. */
    private final Transmission transmission;

    /** Reads the answer. */
    private final AnswerReader reader;

    /** Reads the monotonic clock. */
    private final Supplier<MonotonicTime> clock;

    /** Determines whether the endpoint has terminated. */
    private final EndpointChecks checks;

    /**
     * Receives the incarnation of an endpoint that reports that it is leaving, or an empty string if the endpoint names
     * no incarnation.
     */
    private final Consumer<String> leavingListener;

    /** Receives the events. */
    private final FlowableEmitter<RequestEvent> emitter;

    /** Whether the attempt was cancelled. */
    private volatile boolean cancelled;

    /** Whether the attempt has ended. */
    private volatile boolean ended;

    /**
     * Creates an attempt.
     *
     * @param send The attempt to carry out.
     * @param wireId The identifier that the answer must carry.
     * @param transmission Tracks the progress of the call.
     * @param reader Reads the answer.
     * @param clock Reads the monotonic clock.
     * @param checks Determines whether the endpoint has terminated.
     * @param leavingListener Receives the incarnation of an endpoint that reports that it is leaving, or an empty
     *     string if the endpoint names no incarnation.
     * @param emitter Receives the events.
     */
    Attempt(
            RequestEffect.Send send,
            String wireId,
            Transmission transmission,
            AnswerReader reader,
            Supplier<MonotonicTime> clock,
            EndpointChecks checks,
            Consumer<String> leavingListener,
            FlowableEmitter<RequestEvent> emitter) {
        this.send = send;
        this.wireId = wireId;
        this.transmission = transmission;
        this.reader = reader;
        this.clock = clock;
        this.checks = checks;
        this.leavingListener = leavingListener;
        this.emitter = emitter;
    }

    /**
     * Cancels this attempt unless it has ended. After the end, its connection may already serve another request.
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
            requireMatchingId(response);
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
     * Rejects an answer that is not guaranteed to belong to this request.
     *
     * @param response The answer.
     * @throws AnswerException If the answer carries a different identifier, several or none.
     */
    private void requireMatchingId(Response response) throws AnswerException {
        List<String> answerIds = response.headers(REQUEST_ID);
        if (answerIds.isEmpty()) {
            throw new AnswerException(FailureCodes.UNIDENTIFIED_ANSWER);
        }
        if (!answerIds.equals(List.of(wireId))) {
            throw new AnswerException(FailureCodes.CROSSED_ANSWER);
        }
    }

    /**
     * Interprets a complete answer as a refusal.
     *
     * @param result The answer.
     * @return The refusal, or empty if the endpoint did not state that the request has not run.
     */
    private Optional<AttemptResult> refusal(AttemptResult result) {
        if (!(result instanceof AttemptResult.Complete complete) || !REFUSAL_STATUSES.contains(complete.status())) {
            return Optional.empty();
        }
        try {
            JsonNode body = Json.parse(complete.body());
            JsonNode error = body.path("error");
            if (!error.path("ran").asText().equals("no")) {
                return Optional.empty();
            }
            boolean isLeaving = error.path("code").asText().equals(FailureCodes.LEAVING);
            if (isLeaving) {
                leavingListener.accept(body.path("incarnation").asText(""));
            }
            return Optional.of(new AttemptResult.NotRun(error.path("code").asText("refused"), isLeaving));
        } catch (AnswerException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Creates the result of a failure. The request is known not to have run only if no byte of it can have been sent.
     *
     * @param exception The failure.
     * @return The result.
     */
    private AttemptResult failure(Exception exception) {
        String code = code(exception);
        if (!transmission.begun()) {
            return new AttemptResult.NotRun(code, false);
        }
        boolean isPartialUsable = !(exception instanceof AnswerException) || code.equals(FailureCodes.CONNECTION_LOST);
        return new AttemptResult.MaybeRun(code, isPartialUsable ? reader.partial() : Optional.empty(), loss(code));
    }

    /**
     * Classifies what a failure implies about the endpoint.
     *
     * @param code The code of the failure, which occurred after bytes of the request may have been sent.
     * @return The classification.
     */
    private Loss loss(String code) {
        boolean aborted = code.equals(FailureCodes.CANCELLED) || code.equals(FailureCodes.DEADLINE_EXCEEDED);
        return aborted || code.equals(FailureCodes.CONNECTION_LOST)
                ? checks.judge(send.endpoint(), send.address(), transmission, aborted)
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
