package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.AnswerMemory;
import io.yuccaswitch.endpoint.EndpointChecks;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.endpoint.OneShotBody;
import io.yuccaswitch.endpoint.SendableTarget;
import io.yuccaswitch.endpoint.Transmission;
import io.yuccaswitch.http.MalformedAnswerException;
import io.yuccaswitch.platform.LogText;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Headers;
import okhttp3.Request;
import okhttp3.Response;
import okio.Buffer;
import org.jboss.logging.Logger;

/** Sends plain requests to endpoints, and validates that answers are complete and belong to their requests. */
final class EndpointAttempts {

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(EndpointAttempts.class);

    /** The maximum size of an answer that is forwarded, in bytes. */
    private static final long MAXIMUM_ANSWER_BYTES = 16L << 20;

    /** The maximum number of bytes that one read requests. */
    private static final long READ_CHUNK_BYTES = 8192;

    /**
     * The statuses of overloaded and unavailable endpoints. Unless the endpoint also guarantees that the request was
     * not run, it may have run.
     */
    private static final java.util.Set<Integer> AMBIGUOUS_STATUSES = java.util.Set.of(408, 421, 429, 503);

    /** The first digit of the statuses of success. */
    private static final int SUCCESS_CLASS = 2;

    /** The methods whose requests have no body. */
    private static final java.util.Set<String> BODILESS_METHODS = java.util.Set.of("GET", "HEAD");

    /** The connections to endpoints. */
    private final EndpointHttp http;

    /** The dialect of endpoints. */
    private final EndpointDialect dialect;

    /** Checks whether endpoints have ended. */
    private final EndpointChecks checks;

    /** Checks endpoints again right before requests are sent. */
    private final DispatchCheck dispatch;

    /** Bounds the memory of all answers that are being read. */
    private final AnswerMemory memory = AnswerMemory.ofHeap();

    /** The calls in progress, with the endpoint incarnations that they were sent to. */
    private final Map<Call, EndpointName> callsInProgress = new ConcurrentHashMap<>();

    /**
     * Creates a sender.
     *
     * @param http The connections to endpoints.
     * @param dialect The dialect of endpoints.
     * @param checks Checks whether endpoints have ended.
     * @param dispatch Checks endpoints again right before requests are sent.
     */
    EndpointAttempts(EndpointHttp http, EndpointDialect dialect, EndpointChecks checks, DispatchCheck dispatch) {
        this.http = http;
        this.dialect = dialect;
        this.checks = checks;
        this.dispatch = dispatch;
    }

    /**
     * Sends a request and waits for the status and headers of the answer.
     *
     * @param request The request.
     * @param endpoint The endpoint.
     * @param timeouts The timeouts of the attempt.
     * @param connection Whether a new connection is required.
     * @param lastEventId The event after which a stream resumes, or empty to start from the beginning.
     * @param onCall Receives the call, so that it can be cancelled.
     * @return The attempt in progress.
     */
    OpenedAttempt open(
            OutgoingRequest request,
            RegisteredEndpoint endpoint,
            Timeouts timeouts,
            EndpointHttp.ConnectionUse connection,
            Optional<Long> lastEventId,
            Consumer<Call> onCall) {
        Transmission transmission = new Transmission(() -> dispatch.maySend(endpoint.name(), request.id()));
        Request.Builder builder;
        try {
            builder = build(request, endpoint, timeouts, lastEventId);
        } catch (IllegalArgumentException exception) {
            String reason = "it can't be sent: " + LogText.reason(exception);
            LOGGER.warnf(
                    "event=request-not-sendable endpoint=%s id=%s reason=\"%s\"",
                    endpoint.name(), request.id(), reason);
            return OpenedAttempt.failed(
                    endpoint, new AttemptResult.NotRun(AttemptResult.NotRunCause.UNDELIVERED, reason));
        }
        Call call = http.call(builder, transmission, timeouts.total(), connection);
        track(call, endpoint.name());
        onCall.accept(call);
        Disposable watchdog = Schedulers.computation()
                .scheduleDirect(call::cancel, timeouts.head().toNanos(), TimeUnit.NANOSECONDS);
        try {
            Response response = call.execute();
            watchdog.dispose();
            return validate(
                    request, new OpenedAttempt(endpoint, Optional.of(response), Optional.empty(), transmission, call));
        } catch (IOException exception) {
            watchdog.dispose();
            OpenedAttempt failed = new OpenedAttempt(endpoint, Optional.empty(), Optional.empty(), transmission, call);
            return failed.withFailure(
                    transmission.begun()
                            ? failure(failed, exception, "")
                            : new AttemptResult.NotRun(causeOf(transmission, exception), describe(exception)));
        }
    }

    /**
     * Builds the request of an attempt.
     *
     * @param request The request.
     * @param endpoint The endpoint.
     * @param timeouts The timeouts of the attempt.
     * @param lastEventId The event after which a stream resumes, or empty to start from the beginning.
     * @return The request.
     * @throws IllegalArgumentException If the request can't be sent to the endpoint.
     */
    private Request.Builder build(
            OutgoingRequest request, RegisteredEndpoint endpoint, Timeouts timeouts, Optional<Long> lastEventId) {
        SendableTarget.flaw(request.target()).ifPresent(flaw -> {
            throw new IllegalArgumentException(flaw);
        });
        Headers.Builder headers = new Headers.Builder();
        request.headers().forEach(header -> SendableHeaders.add(headers, header.getKey(), header.getValue()));
        Request.Builder builder = new Request.Builder()
                .url("http://" + endpoint.address() + request.target())
                .headers(headers.build())
                .method(request.method(), bodyOf(request));
        request.account().ifPresent(account -> dialect.identify(builder, account));
        request.priority().ifPresent(priority -> dialect.prioritize(builder, priority));
        dialect.address(builder, endpoint.name(), timeouts.total());
        lastEventId.ifPresent(id -> dialect.resume(builder, id));
        return builder;
    }

    /**
     * Returns why a request was not run that was never written.
     *
     * @param transmission Records how far the call was transmitted.
     * @param exception The failure of the call.
     * @return The cause.
     */
    private static AttemptResult.NotRunCause causeOf(Transmission transmission, IOException exception) {
        if (transmission.isWithheld()) {
            return AttemptResult.NotRunCause.WITHHELD;
        }
        return exception instanceof ConnectException
                ? AttemptResult.NotRunCause.UNREACHABLE
                : AttemptResult.NotRunCause.UNDELIVERED;
    }

    /**
     * Cancels the calls to incarnations of endpoints that were superseded by later ones. Such an incarnation no longer
     * answers, and a call whose connection was not closed would wait for its timeout.
     *
     * @param working The working endpoints.
     */
    void cancelSupersededCalls(List<RegisteredEndpoint> working) {
        if (callsInProgress.isEmpty()) {
            return;
        }
        Map<String, EndpointName> current = new HashMap<>();
        working.forEach(endpoint -> current.put(endpoint.name().value(), endpoint.name()));
        callsInProgress.forEach((call, endpoint) -> {
            if (endpoint.isBefore(current.getOrDefault(endpoint.value(), endpoint))) {
                LOGGER.infof("event=attempt-broken-off endpoint=%s reason=\"it has started again\"", endpoint);
                call.cancel();
            }
        });
    }

    /**
     * Tracks a call until it ends.
     *
     * @param call The call.
     * @param endpoint The endpoint.
     */
    private void track(Call call, EndpointName endpoint) {
        callsInProgress.put(call, endpoint);
        call.addEventListener(new EventListener() {
            @Override
            public void callEnd(Call ended) {
                callsInProgress.remove(ended);
            }

            @Override
            public void callFailed(Call ended, IOException _exception) {
                callsInProgress.remove(ended);
            }
        });
    }

    /**
     * Reads an answer completely.
     *
     * @param opened The attempt in progress.
     * @return The answer, or the reason for its absence.
     */
    AttemptResult readComplete(OpenedAttempt opened) {
        Response response = opened.response().orElseThrow();
        AnswerMemory.Share share = memory.open(opened.call()::cancel);
        try (response;
                share) {
            Buffer body = new Buffer();
            long count = response.body().source().read(body, READ_CHUNK_BYTES);
            while (count >= 0) {
                if (!share.add(count) || body.size() > MAXIMUM_ANSWER_BYTES) {
                    opened.discard();
                    return unusableAnswer("the answer is too large");
                }
                count = response.body().source().read(body, READ_CHUNK_BYTES);
            }
            return new AttemptResult.Complete(response.code(), response.headers(), Bytes.wrap(body.readByteArray()));
        } catch (IOException exception) {
            AttemptResult result = share.isBrokenOff()
                    ? unusableAnswer("the answer is too large")
                    : failure(opened, exception, "the answer broke off: ");
            opened.discard();
            return result;
        }
    }

    /**
     * Returns the result of an attempt of which at least a byte was sent and whose answer can't be read.
     *
     * @param opened The attempt, which must not be discarded before.
     * @param exception The failure.
     * @param prefix The beginning of the reason, for logs.
     * @return The result.
     */
    private AttemptResult failure(OpenedAttempt opened, IOException exception, String prefix) {
        String reason = prefix + describe(exception);
        return exception instanceof MalformedAnswerException
                ? unusableAnswer(reason + " " + opened.transmission().describe())
                : lostAnswer(opened, reason);
    }

    /**
     * Returns the result of an attempt whose answer was not received or was interrupted.
     *
     * @param opened The attempt, which must not be discarded before.
     * @param reason The reason, for logs.
     * @return The result.
     */
    AttemptResult lostAnswer(OpenedAttempt opened, String reason) {
        Transmission transmission = opened.transmission();
        String described = reason + " " + transmission.describe();
        RegisteredEndpoint endpoint = opened.endpoint();
        Loss loss = checks.judge(
                endpoint.name(), endpoint.address(), transmission, opened.call().isCanceled());
        return new AttemptResult.MayHaveRun(loss, described);
    }

    /**
     * Returns the result of an attempt whose answer can't be forwarded.
     *
     * @param reason The reason, for logs.
     * @return The result.
     */
    static AttemptResult unusableAnswer(String reason) {
        return new AttemptResult.MayHaveRun(Loss.UNUSABLE, reason);
    }

    /**
     * Describes an exception in one line.
     *
     * @param exception The exception.
     * @return The description.
     */
    static String describe(IOException exception) {
        return exception.getClass().getSimpleName() + " " + exception.getMessage();
    }

    /**
     * Validates the status and headers of an answer.
     *
     * @param request The request.
     * @param opened The attempt in progress.
     * @return The attempt, which has failed if the answer can't be forwarded.
     */
    private OpenedAttempt validate(OutgoingRequest request, OpenedAttempt opened) {
        Response response = opened.response().orElseThrow();
        if (!request.id().isEmpty() && !dialect.belongsTo(response.headers(), request.id())) {
            opened.discard();
            return opened.withFailure(unusableAnswer("status " + response.code() + " with identifiers "
                    + dialect.describeIdentifiers(response.headers()) + " does not belong to the request"));
        }
        if (dialect.isNotRun(response.code(), response.headers()) || dialect.isMisdirected(response.code())) {
            response.close();
            return opened.withFailure(new AttemptResult.NotRun(
                    dialect.isMisdirected(response.code())
                            ? AttemptResult.NotRunCause.UNDELIVERED
                            : AttemptResult.NotRunCause.REFUSED,
                    "refused with status " + response.code()));
        }
        if (AMBIGUOUS_STATUSES.contains(response.code())) {
            response.close();
            return opened.withFailure(
                    unusableAnswer("status " + response.code() + " does not state that the request was not run"));
        }
        boolean success = response.code() / 100 == SUCCESS_CLASS;
        if (success && !dialect.isSigned(response.headers())) {
            opened.discard();
            return opened.withFailure(unusableAnswer("the answer is not signed"));
        }
        return opened;
    }

    /**
     * Returns the body of a request for the client library.
     *
     * @param request The request.
     * @return The body, or {@code null} where the method allows none.
     */
    private static OneShotBody bodyOf(OutgoingRequest request) {
        if (BODILESS_METHODS.contains(request.method()) && request.body().size() == 0) {
            return null;
        }
        return new OneShotBody("", request.body());
    }

    /**
     * The timeouts of an attempt.
     *
     * @param head The maximum time until the status and headers of the answer are received.
     * @param total The maximum time until the answer is complete.
     */
    record Timeouts(Duration head, Duration total) {}

    /**
     * An attempt whose answer has started, or which has failed.
     *
     * @param endpoint The endpoint.
     * @param response The answer, unless the attempt failed.
     * @param failure The result of the attempt if it failed.
     * @param transmission Records how far the call was transmitted.
     * @param call The call.
     */
    record OpenedAttempt(
            RegisteredEndpoint endpoint,
            Optional<Response> response,
            Optional<AttemptResult> failure,
            Transmission transmission,
            Call call) {

        /**
         * Returns this attempt as a failed one.
         *
         * @param result The result of the attempt.
         * @return The failed attempt, without its answer.
         */
        OpenedAttempt withFailure(AttemptResult result) {
            return new OpenedAttempt(endpoint, Optional.empty(), Optional.of(result), transmission, call);
        }

        /**
         * Creates an attempt that failed before its call was created.
         *
         * @param endpoint The endpoint.
         * @param failure The result of the attempt.
         * @return The attempt.
         */
        static OpenedAttempt failed(RegisteredEndpoint endpoint, AttemptResult failure) {
            return new OpenedAttempt(endpoint, Optional.empty(), Optional.of(failure), new Transmission(), null);
        }

        /** Cancels the call, and closes its connection and answer. */
        void discard() {
            call.cancel();
            transmission.closeConnection();
            response.ifPresent(Response::close);
        }
    }
}
