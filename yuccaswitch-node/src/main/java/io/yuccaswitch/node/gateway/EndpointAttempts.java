package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.EndpointChecks;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.endpoint.OneShotBody;
import io.yuccaswitch.endpoint.Transmission;
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
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.Response;
import org.jboss.logging.Logger;

/** Sends plain requests to endpoints and judges whether an answer is whole and belongs to its request. */
final class EndpointAttempts {

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(EndpointAttempts.class);

    /** The largest answer that is passed on, in bytes. */
    private static final long MAXIMUM_ANSWER_BYTES = 16L << 20;

    /** The status of an endpoint that has too much to do, and of one that runs nothing now. */
    private static final java.util.Set<Integer> PROMISING = java.util.Set.of(408, 421, 429, 503);

    /** The class of statuses that mean success. */
    private static final int SUCCESS_CLASS = 2;

    /** The methods whose requests bear no body. */
    private static final java.util.Set<String> BODILESS = java.util.Set.of("GET", "HEAD");

    /** The connections to endpoints. */
    private final EndpointHttp http;

    /** How endpoints speak. */
    private final EndpointDialect dialect;

    /** Finds out whether endpoints have ended. */
    private final EndpointChecks checks;

    /** Looks at endpoints again before requests are written. */
    private final DispatchCheck dispatch;

    /** The calls in progress, by the start of the endpoint that they were sent to. */
    private final Map<Call, EndpointName> running = new ConcurrentHashMap<>();

    /**
     * Creates a sender.
     *
     * @param http The connections to endpoints.
     * @param dialect How endpoints speak.
     * @param checks Finds out whether endpoints have ended.
     * @param dispatch Looks at endpoints again before requests are written.
     */
    EndpointAttempts(EndpointHttp http, EndpointDialect dialect, EndpointChecks checks, DispatchCheck dispatch) {
        this.http = http;
        this.dialect = dialect;
        this.checks = checks;
        this.dispatch = dispatch;
    }

    /**
     * Sends a request and waits for the head of the answer.
     *
     * @param request The request.
     * @param endpoint The endpoint.
     * @param times The times that the attempt may take.
     * @param connection Which connection it goes over.
     * @param lastEventId The event behind which a stream goes on, or empty to begin anew.
     * @param begun Takes the call, to break it off.
     * @return The attempt in progress.
     */
    Opened open(
            OutgoingRequest request,
            RegisteredEndpoint endpoint,
            Times times,
            EndpointHttp.ConnectionUse connection,
            Optional<Long> lastEventId,
            Consumer<Call> begun) {
        Transmission transmission = new Transmission(() -> dispatch.maySend(endpoint.name(), request.id()));
        HttpUrl url = HttpUrl.parse("http://" + endpoint.address() + request.target());
        if (url == null) {
            return Opened.failed(
                    endpoint, new AttemptResult.NotRun(AttemptResult.NotRunCause.REFUSED, "the path can't be sent"));
        }
        Request.Builder builder = new Request.Builder().url(url).method(request.method(), bodyOf(request));
        for (Map.Entry<String, String> header : request.headers()) {
            builder.addHeader(header.getKey(), header.getValue());
        }
        request.account().ifPresent(account -> dialect.identify(builder, account));
        dialect.address(builder, endpoint.name(), times.whole());
        lastEventId.ifPresent(id -> dialect.resume(builder, id));
        Call call = http.call(builder, transmission, times.whole(), connection);
        track(call, endpoint.name());
        begun.accept(call);
        Disposable watchdog = Schedulers.computation()
                .scheduleDirect(call::cancel, times.untilHead().toNanos(), TimeUnit.NANOSECONDS);
        try {
            Response response = call.execute();
            watchdog.dispose();
            return judge(request, new Opened(endpoint, Optional.of(response), Optional.empty(), transmission, call));
        } catch (IOException exception) {
            watchdog.dispose();
            Opened failed = new Opened(endpoint, Optional.empty(), Optional.empty(), transmission, call);
            return failed.withFailure(
                    transmission.begun()
                            ? lost(failed, describe(exception))
                            : new AttemptResult.NotRun(causeOf(transmission, exception), describe(exception)));
        }
    }

    /**
     * Returns why a request of which nothing was written was not run.
     *
     * @param transmission The watcher of the call.
     * @param exception What ended the call.
     * @return The cause.
     */
    private static AttemptResult.NotRunCause causeOf(Transmission transmission, IOException exception) {
        if (transmission.isWithheld()) {
            return AttemptResult.NotRunCause.WITHHELD;
        }
        return exception instanceof ConnectException
                ? AttemptResult.NotRunCause.UNREACHABLE
                : AttemptResult.NotRunCause.REFUSED;
    }

    /**
     * Breaks off the calls to starts of endpoints that are followed by later ones. Such an endpoint answers no more,
     * and where its connections fell silent the call would wait for its time-out.
     *
     * @param working The working endpoints.
     */
    void breakOffEarlierStarts(List<RegisteredEndpoint> working) {
        if (running.isEmpty()) {
            return;
        }
        Map<String, EndpointName> current = new HashMap<>();
        working.forEach(endpoint -> current.put(endpoint.name().value(), endpoint.name()));
        running.forEach((call, endpoint) -> {
            if (endpoint.isBefore(current.getOrDefault(endpoint.value(), endpoint))) {
                LOGGER.infof("event=attempt-broken-off endpoint=%s reason=\"it has started again\"", endpoint);
                call.cancel();
            }
        });
    }

    /**
     * Remembers a call until it ends.
     *
     * @param call The call.
     * @param endpoint The endpoint.
     */
    private void track(Call call, EndpointName endpoint) {
        running.put(call, endpoint);
        call.addEventListener(new EventListener() {
            @Override
            public void callEnd(Call ended) {
                running.remove(ended);
            }

            @Override
            public void callFailed(Call ended, IOException _exception) {
                running.remove(ended);
            }
        });
    }

    /**
     * Reads an answer that is passed on as a whole.
     *
     * @param opened The attempt in progress.
     * @return The answer, or why there is none.
     */
    AttemptResult readWhole(Opened opened) {
        Response response = opened.response().orElseThrow();
        try (response) {
            byte[] body = response.body().source().request(MAXIMUM_ANSWER_BYTES + 1)
                    ? new byte[0]
                    : response.body().source().readByteArray();
            if (body.length == 0 && !response.body().source().exhausted()) {
                opened.discard();
                return unusable("the answer is too large");
            }
            return new AttemptResult.Whole(response.code(), response.headers(), Bytes.wrap(body));
        } catch (IOException exception) {
            AttemptResult result = lost(opened, "the answer broke off: " + describe(exception));
            opened.discard();
            return result;
        }
    }

    /**
     * Returns the result of an attempt whose answer did not come, or broke off.
     *
     * @param opened The attempt, which is not discarded yet.
     * @param reason The reason, for logs.
     * @return The result.
     */
    AttemptResult lost(Opened opened, String reason) {
        Transmission transmission = opened.transmission();
        String described = reason + " " + transmission.describe();
        RegisteredEndpoint endpoint = opened.endpoint();
        Loss loss = checks.judge(
                endpoint.name(), endpoint.address(), transmission, opened.call().isCanceled());
        return new AttemptResult.MayHaveRun(loss, described);
    }

    /**
     * Returns the result of an attempt whose answer can't be passed on.
     *
     * @param reason The reason, for logs.
     * @return The result.
     */
    static AttemptResult unusable(String reason) {
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
     * Judges the head of an answer.
     *
     * @param request The request.
     * @param opened The attempt in progress.
     * @return The attempt, which has failed if the answer can't be passed on.
     */
    private Opened judge(OutgoingRequest request, Opened opened) {
        Response response = opened.response().orElseThrow();
        String echoed = response.header(dialect.requestIdHeader());
        if (!request.id().isEmpty() && echoed != null && !echoed.equals(request.id())) {
            opened.discard();
            return opened.withFailure(unusable("the answer belongs to another request"));
        }
        if (dialect.saysNotRun(response.code(), response.headers()) || dialect.isMisdirected(response.code())) {
            response.close();
            return opened.withFailure(new AttemptResult.NotRun(
                    AttemptResult.NotRunCause.REFUSED, "refused with status " + response.code()));
        }
        if (PROMISING.contains(response.code())) {
            response.close();
            return opened.withFailure(unusable("status " + response.code() + " without a promise"));
        }
        boolean success = response.code() / 100 == SUCCESS_CLASS;
        if (success && !dialect.isSigned(response.headers())) {
            opened.discard();
            return opened.withFailure(unusable("the answer is not signed"));
        }
        if (success && echoed == null) {
            opened.discard();
            return opened.withFailure(unusable("the answer names no request"));
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
        if (BODILESS.contains(request.method()) && request.body().size() == 0) {
            return null;
        }
        return new OneShotBody("", request.body());
    }

    /**
     * The times that an attempt may take.
     *
     * @param untilHead The time until the head of the answer is there.
     * @param whole The time until the answer is whole.
     */
    record Times(Duration untilHead, Duration whole) {}

    /**
     * An attempt whose answer has begun, or has failed to.
     *
     * @param endpoint The endpoint.
     * @param response The answer, unless the attempt failed.
     * @param failure Why the attempt failed, if it did.
     * @param transmission The watcher of the call.
     * @param call The call.
     */
    record Opened(
            RegisteredEndpoint endpoint,
            Optional<Response> response,
            Optional<AttemptResult> failure,
            Transmission transmission,
            Call call) {

        /**
         * Returns this attempt as one whose answer can't be passed on.
         *
         * @param why Why.
         * @return The attempt, without its answer.
         */
        Opened withFailure(AttemptResult why) {
            return new Opened(endpoint, Optional.empty(), Optional.of(why), transmission, call);
        }

        /**
         * Creates an attempt that was never begun.
         *
         * @param endpoint The endpoint.
         * @param failure Why.
         * @return The attempt.
         */
        static Opened failed(RegisteredEndpoint endpoint, AttemptResult failure) {
            return new Opened(endpoint, Optional.empty(), Optional.of(failure), new Transmission(), null);
        }

        /** Breaks the answer off, and closes its connection. */
        void discard() {
            call.cancel();
            transmission.closeConnection();
            response.ifPresent(Response::close);
        }
    }
}
