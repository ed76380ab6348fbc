package io.yuccaswitch.node.gateway;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.admission.AdmissionRequest;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.proxy.ReportedLoad;
import io.yuccaswitch.core.proxy.RequestPlan;
import io.yuccaswitch.core.quarantine.Loss;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * Serves plain requests: sends each to endpoints as its plan allows, and forwards an answer completely or not at all.
 */
final class PlainRequestHandler {

    /** The lowest status that is not a success. */
    private static final int BAD_REQUEST = 400;

    /** The lowest status of a failed endpoint. */
    private static final int SERVER_ERROR = 500;

    /**
     * The maximum wait for the platform to confirm the state of endpoints. Within this time the platform has answered,
     * or has been found unreachable.
     */
    private static final Duration FRESHNESS_TIMEOUT = Duration.ofMillis(450);

    /** The minimum time left for which an attempt is made. */
    private static final Duration MINIMUM_ATTEMPT_TIME = Duration.ofMillis(5);

    /** The hop-by-hop headers of an answer, which concern one connection only. */
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "content-length",
            "te",
            "trailer",
            "upgrade",
            "proxy-connection");

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger("io.yuccaswitch.request");

    /** The view of the core. */
    private final GatewayView view;

    /** Sends requests to endpoints. */
    private final EndpointAttempts attempts;

    /** The dialect of endpoints. */
    private final EndpointDialect dialect;

    /** Assigns endpoints to attempts. */
    private final EndpointAssignment assignment;

    /** Answers requests that no endpoint answered. */
    private final UnservedRequests unserved;

    /** Withholds requests on which endpoints crashed. */
    private final QuarantineGate gate;

    /** Counts the requests that start to run. */
    private final UsageMeter usage;

    /** The metrics. */
    private final MetricRegistry metrics;

    /**
     * Creates a handler.
     *
     * @param view The view of the core.
     * @param attempts Sends requests to endpoints.
     * @param dialect The dialect of endpoints.
     * @param assignment Assigns endpoints to attempts.
     * @param gate Withholds requests on which endpoints crashed.
     * @param usage Counts the requests that start to run.
     * @param metrics The metrics.
     */
    PlainRequestHandler(
            GatewayView view,
            EndpointAttempts attempts,
            EndpointDialect dialect,
            EndpointAssignment assignment,
            QuarantineGate gate,
            UsageMeter usage,
            MetricRegistry metrics) {
        this.view = view;
        this.attempts = attempts;
        this.dialect = dialect;
        this.assignment = assignment;
        unserved = new UnservedRequests(assignment);
        this.gate = gate;
        this.usage = usage;
        this.metrics = metrics;
    }

    /**
     * Serves a request on the calling thread.
     *
     * @param request The request.
     * @param caller The caller.
     * @param watched Detects that the caller disconnected.
     * @throws IOException If the caller has disconnected.
     */
    void serve(PlainRequest request, CallerResponse caller, DisconnectWatch.WatchedRequest watched) throws IOException {
        MonotonicTime arrivedAt = DecisionLoop.now();
        Optional<PoolName> pool =
                request.route().pick(ThreadLocalRandom.current().nextDouble());
        Exchange exchange = new Exchange(request, caller, watched, pool, arrivedAt);
        String outcome = exchange.run();
        long micros = DecisionLoop.now().since(arrivedAt).toNanos() / 1000;
        metrics.counter("gateway.requests." + outcome.replace(' ', '-')).inc();
        metrics.timer("gateway.request-time").update(micros, TimeUnit.MICROSECONDS);
        LOGGER.infof(
                "event=request id=%s content=%s route=%s pool=%s outcome=\"%s\" attempts=\"%s\" configuration=%d"
                        + " micros=%d",
                request.id(),
                exchange.quarantineCheck.describe(),
                request.route().name(),
                pool.map(PoolName::value).orElse("none"),
                outcome,
                exchange.history,
                view.routes().map(routes -> routes.version()).orElse(0L),
                micros);
    }

    /**
     * Returns whether a header of an answer is forwarded to the caller.
     *
     * @param name The header's name.
     * @return {@code false} for hop-by-hop headers.
     */
    private static boolean isEndToEndHeader(String name) {
        return !HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns the name of a loss in metrics.
     *
     * @param loss The loss.
     * @return The name.
     */
    private static String label(Loss loss) {
        return loss.cause().name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether an endpoint completed a request.
     *
     * @param result The result of the attempt.
     * @return {@code true} for a successful answer.
     */
    private static boolean isSuccess(AttemptResult result) {
        return (result instanceof AttemptResult.Relayed relayed && relayed.complete())
                || (result instanceof AttemptResult.Complete complete && complete.status() < BAD_REQUEST);
    }

    /** The processing of one request in one or more attempts. */
    private final class Exchange {

        /**
         * Whether the request was counted for its account. It is counted once, regardless of the number of attempts.
         */
        private boolean counted;

        /** The request. */
        private final PlainRequest request;

        /** The caller. */
        private final CallerResponse caller;

        /** Detects that the caller disconnected. */
        private final DisconnectWatch.WatchedRequest watched;

        /** The pool that serves the request. */
        private final Optional<PoolName> pool;

        /** When the request arrived. */
        private final MonotonicTime arrivedAt;

        /** Determines which attempts are allowed. */
        private final RequestPlan plan;

        /** Forwards the events of a stream. */
        private final EventRelay relay;

        /** The endpoints and results of the attempts, for logs. */
        private final StringBuilder history = new StringBuilder();

        /** Checks whether the quarantine allows attempts of the request. */
        private final QuarantineGate.RequestCheck quarantineCheck;

        /**
         * Creates an exchange.
         *
         * @param request The request.
         * @param caller The caller.
         * @param watched Detects that the caller disconnected.
         * @param pool The pool that serves the request.
         * @param arrivedAt When the request arrived.
         */
        Exchange(
                PlainRequest request,
                CallerResponse caller,
                DisconnectWatch.WatchedRequest watched,
                Optional<PoolName> pool,
                MonotonicTime arrivedAt) {
            this.request = request;
            this.caller = caller;
            this.watched = watched;
            this.pool = pool;
            this.arrivedAt = arrivedAt;
            plan = new RequestPlan(request.route());
            quarantineCheck = gate.quarantineCheck(request);
            relay = new EventRelay(dialect, caller, PlainRequestHandler::isEndToEndHeader);
        }

        /**
         * Makes attempts until the request is answered.
         *
         * @return The outcome, for logs.
         * @throws IOException If the caller has disconnected.
         */
        String run() throws IOException {
            while (true) {
                Duration timeLeft = request.timeLeft(DecisionLoop.now());
                if (timeLeft.compareTo(MINIMUM_ATTEMPT_TIME) < 0) {
                    return answerUnserved("time is up", UnservedRequests.GATEWAY_TIMEOUT);
                }
                if (mayBeCut()) {
                    return UnservedRequests.answerStopping(caller);
                }
                if (!awaitFreshness(timeLeft)) {
                    return answerUnserved("what is known of endpoints is too old", UnservedRequests.BAD_GATEWAY);
                }
                Optional<Duration> refusal = quarantineCheck.refusal(workingEndpoints());
                if (refusal.isPresent()) {
                    return unserved.answerQuarantined(caller, progress(), refusal.get());
                }
                EndpointAssignment.Claim claim = claim();
                EndpointAssignment.Assigned assigned = assignment.assign(claim);
                if (assigned instanceof EndpointAssignment.Assigned.None && mayBeCut()) {
                    return UnservedRequests.answerStopping(caller);
                }
                if (assigned instanceof EndpointAssignment.Assigned.None none) {
                    return answerUnserved(none.reason(), UnservedRequests.BAD_GATEWAY);
                }
                AttemptResult result = assigned instanceof EndpointAssignment.Assigned.To to
                        ? attempt(claim, to.endpoint())
                        : new AttemptResult.Relayed(false);
                if (watched.isDisconnected()) {
                    caller.abort();
                    return "caller gone";
                }
                if (result instanceof AttemptResult.Relayed) {
                    return "streamed";
                }
                if (result instanceof AttemptResult.Complete complete && !shouldRepeat(complete)) {
                    caller.forward(complete, PlainRequestHandler::isEndToEndHeader);
                    return "answered";
                }
                if (!(result instanceof AttemptResult.NotRun)) {
                    plan.recordPossibleRun();
                }
                if (!plan.mayRetry()) {
                    if (result instanceof AttemptResult.Complete complete) {
                        caller.forward(complete, PlainRequestHandler::isEndToEndHeader);
                        return "answered";
                    }
                    boolean timedOut = request.timeLeft(DecisionLoop.now()).compareTo(MINIMUM_ATTEMPT_TIME) < 0;
                    return timedOut
                            ? answerUnserved("time is up", UnservedRequests.GATEWAY_TIMEOUT)
                            : answerUnserved("attempts used up", UnservedRequests.BAD_GATEWAY);
                }
            }
        }

        /**
         * Returns whether a planned stop of this node may cut the request although no endpoint has received it.
         *
         * @return {@code true} if another node must serve it.
         */
        private boolean mayBeCut() {
            return progress() == UnservedRequests.Progress.NOT_RUN && !view.admits(request.deadline());
        }

        /**
         * Waits until the state of endpoints is fresh enough for an attempt.
         *
         * @param timeLeft The time that is left.
         * @return {@code true} if it is.
         */
        private boolean awaitFreshness(Duration timeLeft) {
            Duration half = timeLeft.dividedBy(2);
            return view.awaitFreshness(half.compareTo(FRESHNESS_TIMEOUT) < 0 ? half : FRESHNESS_TIMEOUT);
        }

        /**
         * Returns whether another attempt may follow an answer.
         *
         * @param complete The answer.
         * @return {@code true} if the endpoint failed and the route allows repeated attempts.
         */
        private boolean shouldRepeat(AttemptResult.Complete complete) {
            return complete.status() >= SERVER_ERROR && request.route().mayRepeat();
        }

        /**
         * Returns the candidate endpoints of the request.
         *
         * @return The working endpoints of the pool.
         */
        private List<RegisteredEndpoint> workingEndpoints() {
            return pool.map(view::endpoints).orElseGet(List::of);
        }

        /**
         * Returns the request's claim to an endpoint for its next attempt.
         *
         * @return The claim.
         */
        private EndpointAssignment.Claim claim() {
            Set<EndpointName> avoided = new HashSet<>(plan.tried());
            avoided.addAll(gate.view().ended());
            boolean isNew = plan.tried().isEmpty();
            return new EndpointAssignment.Claim(
                    request,
                    pool,
                    avoided,
                    progress() != UnservedRequests.Progress.NOT_RUN
                            ? AdmissionRequest.Stage.MAY_HAVE_RUN
                            : isNew ? AdmissionRequest.Stage.NEW : AdmissionRequest.Stage.REFUSED,
                    arrivedAt,
                    watched);
        }

        /**
         * Makes one attempt.
         *
         * @param claim The claim to which the endpoint was assigned.
         * @param endpoint The endpoint.
         * @return The result of the attempt.
         */
        private AttemptResult attempt(EndpointAssignment.Claim claim, RegisteredEndpoint endpoint) {
            Optional<EndpointAssignment.Ended> ended = Optional.empty();
            try {
                EndpointName name = endpoint.name();
                plan.begin(name);
                MonotonicTime startedAt = DecisionLoop.now();
                Duration timeLeft = request.timeLeft(startedAt);
                long sentAt = usage.now();
                EndpointAttempts.Timeouts timeouts =
                        new EndpointAttempts.Timeouts(plan.attemptTimeout(timeLeft), timeLeft);
                EndpointHttp.ConnectionUse connection = quarantineCheck.needsNewConnection(endpoint)
                        ? EndpointHttp.ConnectionUse.NEW
                        : EndpointHttp.ConnectionUse.KEPT;
                EndpointAttempts.OpenedAttempt opened = attempts.open(
                        request.outgoing(), endpoint, timeouts, connection, relay.lastEventId(), watched::attach);
                Optional<ReportedLoad> load = opened.response().flatMap(response -> dialect.load(response.headers()));
                load.ifPresent(reported -> assignment.reported(endpoint, reported));
                AttemptResult result = opened.failure().orElseGet(() -> receive(opened));
                countUsage(result, sentAt);
                appendToHistory(endpoint, result);
                reportResult(endpoint, result);
                ended = Optional.of(new EndpointAssignment.Ended(
                        result, DecisionLoop.now().since(startedAt), timeouts.head(), watched.isDisconnected(), load));
                return result;
            } finally {
                assignment.end(claim, endpoint, ended);
            }
        }

        /**
         * Reads or forwards an answer that has started.
         *
         * @param opened The attempt in progress.
         * @return The result of the attempt.
         */
        private AttemptResult receive(EndpointAttempts.OpenedAttempt opened) {
            boolean success = opened.response().orElseThrow().isSuccessful();
            if (relay.hasBegun() && !success) {
                opened.discard();
                return EndpointAttempts.unusableAnswer("the stream was not resumed");
            }
            if (!success || !request.route().streaming()) {
                return attempts.readComplete(opened);
            }
            try {
                if (relay.relay(opened.response().get())) {
                    opened.response().get().close();
                    return new AttemptResult.Relayed(true);
                }
                AttemptResult result = attempts.lostAnswer(opened, "the stream broke off");
                opened.discard();
                return result;
            } catch (EventRelay.CallerGoneException _exception) {
                opened.discard();
                return new AttemptResult.Relayed(false);
            }
        }

        /**
         * Counts the request for its account, at the first attempt that may have run.
         *
         * @param result The result of the attempt.
         * @param sentAt When it was sent, in milliseconds since the epoch.
         */
        private void countUsage(AttemptResult result, long sentAt) {
            if (!counted && !(result instanceof AttemptResult.NotRun)) {
                counted = true;
                usage.count(request.outgoing().account(), sentAt);
            }
        }

        /**
         * Appends an attempt to the history for logs.
         *
         * @param endpoint The endpoint.
         * @param result The result of the attempt.
         */
        private void appendToHistory(RegisteredEndpoint endpoint, AttemptResult result) {
            String text = "answered";
            if (result instanceof AttemptResult.NotRun notRun) {
                text = "not run: " + notRun.reason();
            } else if (result instanceof AttemptResult.MayHaveRun mayHaveRun) {
                text = "may have run: " + mayHaveRun.reason();
            } else if (result instanceof AttemptResult.Complete complete) {
                text = "status " + complete.status();
            }
            history.append(history.length() > 0 ? "; " : "")
                    .append(endpoint.name().value())
                    .append(' ')
                    .append(text);
        }

        /**
         * Reports the result of an attempt to the quarantine and to the metrics.
         *
         * @param endpoint The endpoint.
         * @param result The result of the attempt.
         */
        private void reportResult(RegisteredEndpoint endpoint, AttemptResult result) {
            if (result instanceof AttemptResult.MayHaveRun mayHaveRun) {
                quarantineCheck.recordLostAnswer(endpoint, mayHaveRun.loss());
                metrics.counter("gateway.lost-answers." + label(mayHaveRun.loss()))
                        .inc();
            } else if (result instanceof AttemptResult.NotRun notRun
                    && notRun.cause() == AttemptResult.NotRunCause.UNREACHABLE) {
                quarantineCheck.recordUnreachable(endpoint);
            } else if (isSuccess(result)) {
                quarantineCheck.recordSuccess();
            }
        }

        /**
         * Returns the progress of the request.
         *
         * @return The progress.
         */
        private UnservedRequests.Progress progress() {
            if (relay.hasBegun()) {
                return UnservedRequests.Progress.STREAM_BEGUN;
            }
            return plan.mayHaveRun() ? UnservedRequests.Progress.MAY_HAVE_RUN : UnservedRequests.Progress.NOT_RUN;
        }

        /**
         * Answers a request that gets no further attempt.
         *
         * @param reason The reason, for logs.
         * @param status The status if the request may have run.
         * @return The outcome, for logs.
         * @throws IOException If the caller has disconnected.
         */
        private String answerUnserved(String reason, int status) throws IOException {
            return unserved.answerUnserved(caller, progress(), claim(), reason, status);
        }
    }
}
