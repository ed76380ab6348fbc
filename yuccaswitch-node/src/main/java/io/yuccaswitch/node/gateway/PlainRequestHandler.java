package io.yuccaswitch.node.gateway;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.proxy.EndpointSelection;
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

/** Serves plain requests: sends each to endpoints as its plan allows, and passes the answer on whole or not at all. */
final class PlainRequestHandler {

    /** The lowest status of an answer that is no success. */
    private static final int BAD_REQUEST = 400;

    /** The lowest status that means an endpoint failed. */
    private static final int SERVER_ERROR = 500;

    /**
     * How long a request waits for the platform to confirm what is known of endpoints. By then it has answered, or is
     * known not to.
     */
    private static final Duration FRESHNESS_PATIENCE = Duration.ofMillis(450);

    /** The least time that is worth an attempt. */
    private static final Duration LEAST_TIME = Duration.ofMillis(5);

    /** The headers of an answer that concern one connection only. */
    private static final Set<String> HOP_HEADERS = Set.of(
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

    /** What the core knows. */
    private final GatewayView view;

    /** Sends requests to endpoints. */
    private final EndpointAttempts attempts;

    /** How endpoints speak. */
    private final EndpointDialect dialect;

    /** Chooses endpoints. It is guarded by itself. */
    private final EndpointSelection selection;

    /** Answers requests that no endpoint has answered. */
    private final UnservedRequests unserved;

    /** Keeps requests under which endpoints ended away from further ones. */
    private final QuarantineGate gate;

    /** Counts the requests that begin to run. */
    private final UsageMeter usage;

    /** The metrics. */
    private final MetricRegistry metrics;

    /**
     * Creates a handler.
     *
     * @param view What the core knows.
     * @param attempts Sends requests to endpoints.
     * @param dialect How endpoints speak.
     * @param selection Chooses endpoints.
     * @param gate Keeps requests under which endpoints ended away from further ones.
     * @param usage Counts the requests that begin to run.
     * @param metrics The metrics.
     */
    PlainRequestHandler(
            GatewayView view,
            EndpointAttempts attempts,
            EndpointDialect dialect,
            EndpointSelection selection,
            QuarantineGate gate,
            UsageMeter usage,
            MetricRegistry metrics) {
        this.view = view;
        this.attempts = attempts;
        this.dialect = dialect;
        this.selection = selection;
        unserved = new UnservedRequests(view, selection);
        this.gate = gate;
        this.usage = usage;
        this.metrics = metrics;
    }

    /**
     * Serves a request on the calling thread.
     *
     * @param request The request.
     * @param caller The caller.
     * @param watched Tells when the caller goes.
     * @throws IOException If the caller has gone.
     */
    void serve(PlainRequest request, CallerResponse caller, DisconnectWatch.Watched watched) throws IOException {
        MonotonicTime arrived = DecisionLoop.now();
        Optional<PoolName> pool =
                request.route().pick(ThreadLocalRandom.current().nextDouble());
        Exchange exchange = new Exchange(request, caller, watched, pool);
        String outcome = exchange.run();
        long micros = DecisionLoop.now().since(arrived).toNanos() / 1000;
        metrics.counter("gateway.requests." + outcome.replace(' ', '-')).inc();
        metrics.timer("gateway.request-time").update(micros, TimeUnit.MICROSECONDS);
        LOGGER.infof(
                "event=request id=%s content=%s route=%s pool=%s outcome=\"%s\" attempts=\"%s\" configuration=%d"
                        + " micros=%d",
                request.id(),
                exchange.passage.describe(),
                request.route().name(),
                pool.map(PoolName::value).orElse("none"),
                outcome,
                exchange.history,
                view.routes().map(routes -> routes.version()).orElse(0L),
                micros);
    }

    /**
     * Returns whether a header of an answer is passed on to the caller.
     *
     * @param name The header's name.
     * @return {@code false} for headers that concern one connection only.
     */
    private static boolean passesBack(String name) {
        return !HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Names a loss, for metrics.
     *
     * @param loss The loss.
     * @return The name.
     */
    private static String label(Loss loss) {
        return loss.cause().name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether an endpoint ran a request to its end.
     *
     * @param result What became of the attempt.
     * @return {@code true} for a successful answer.
     */
    private static boolean isSuccess(AttemptResult result) {
        return (result instanceof AttemptResult.Relayed relayed && relayed.whole())
                || (result instanceof AttemptResult.Whole whole && whole.status() < BAD_REQUEST);
    }

    /** One request on its way through one or more attempts. */
    private final class Exchange {

        /** Whether the request was counted for its account, which it is once however often it runs. */
        private boolean counted;

        /** The request. */
        private final PlainRequest request;

        /** The caller. */
        private final CallerResponse caller;

        /** Tells when the caller goes. */
        private final DisconnectWatch.Watched watched;

        /** The pool that serves the request. */
        private final Optional<PoolName> pool;

        /** The attempts. */
        private final RequestPlan plan;

        /** Passes the events of a stream on. */
        private final EventRelay relay;

        /** The endpoints and results of the attempts, for logs. */
        private final StringBuilder history = new StringBuilder();

        /** Asks whether the request may go to an endpoint. */
        private final QuarantineGate.Passage passage;

        /**
         * Creates an exchange.
         *
         * @param request The request.
         * @param caller The caller.
         * @param watched Tells when the caller goes.
         * @param pool The pool that serves the request.
         */
        Exchange(
                PlainRequest request, CallerResponse caller, DisconnectWatch.Watched watched, Optional<PoolName> pool) {
            this.request = request;
            this.caller = caller;
            this.watched = watched;
            this.pool = pool;
            plan = new RequestPlan(request.route());
            passage = gate.passage(request);
            relay = new EventRelay(dialect, caller, PlainRequestHandler::passesBack);
        }

        /**
         * Makes attempts until the request is answered.
         *
         * @return The outcome, for logs.
         * @throws IOException If the caller has gone.
         */
        String run() throws IOException {
            while (true) {
                Duration left = request.left(DecisionLoop.now());
                if (left.compareTo(LEAST_TIME) < 0) {
                    return giveUp("time is up", UnservedRequests.GATEWAY_TIMEOUT);
                }
                if (!awaitFreshness(left)) {
                    return giveUp("what is known of endpoints is too old", UnservedRequests.BAD_GATEWAY);
                }
                Optional<Duration> refusal = passage.refusal(working());
                if (refusal.isPresent()) {
                    return unserved.refuse(caller, progress(), refusal.get());
                }
                Optional<RegisteredEndpoint> endpoint = choose();
                if (endpoint.isEmpty()) {
                    return giveUp("no endpoint", UnservedRequests.BAD_GATEWAY);
                }
                AttemptResult result = attempt(endpoint.get(), left);
                if (watched.isGone()) {
                    caller.abort();
                    return "caller gone";
                }
                if (result instanceof AttemptResult.Relayed) {
                    return "streamed";
                }
                if (result instanceof AttemptResult.Whole whole && !shouldRepeat(whole)) {
                    caller.pass(whole, PlainRequestHandler::passesBack);
                    return "answered";
                }
                if (!(result instanceof AttemptResult.NotRun)) {
                    plan.mayHaveRun();
                }
                if (!plan.mayTryAgain()) {
                    if (result instanceof AttemptResult.Whole whole) {
                        caller.pass(whole, PlainRequestHandler::passesBack);
                        return "answered";
                    }
                    boolean late = request.left(DecisionLoop.now()).compareTo(LEAST_TIME) < 0;
                    return late
                            ? giveUp("time is up", UnservedRequests.GATEWAY_TIMEOUT)
                            : giveUp("attempts used up", UnservedRequests.BAD_GATEWAY);
                }
            }
        }

        /**
         * Waits until what is known of endpoints is recent enough for an attempt.
         *
         * @param left The time that is left.
         * @return Whether it is.
         */
        private boolean awaitFreshness(Duration left) {
            Duration half = left.dividedBy(2);
            return view.awaitFreshness(half.compareTo(FRESHNESS_PATIENCE) < 0 ? half : FRESHNESS_PATIENCE);
        }

        /**
         * Returns whether an answer is worth another attempt.
         *
         * @param whole The answer.
         * @return {@code true} if the endpoint failed and another one may do better.
         */
        private boolean shouldRepeat(AttemptResult.Whole whole) {
            return whole.status() >= SERVER_ERROR && request.route().mayRepeat();
        }

        /**
         * Returns the endpoints that may get the request.
         *
         * @return The working endpoints of the pool.
         */
        private List<RegisteredEndpoint> working() {
            return pool.map(view::endpoints).orElseGet(List::of);
        }

        /**
         * Chooses the endpoint of the next attempt.
         *
         * @return The endpoint, or empty if there is none.
         */
        private Optional<RegisteredEndpoint> choose() {
            Set<EndpointName> avoided = new HashSet<>(plan.tried());
            avoided.addAll(gate.view().ended());
            List<RegisteredEndpoint> working = working();
            synchronized (selection) {
                Optional<RegisteredEndpoint> chosen = selection.choose(working, avoided, DecisionLoop.now());
                chosen.ifPresent(selection::begin);
                return chosen;
            }
        }

        /**
         * Makes one attempt.
         *
         * @param endpoint The endpoint.
         * @param left The time that is left.
         * @return What became of it.
         */
        private AttemptResult attempt(RegisteredEndpoint endpoint, Duration left) {
            EndpointName name = endpoint.name();
            plan.begin(name);
            MonotonicTime begun = DecisionLoop.now();
            long sentAt = usage.now();
            EndpointAttempts.Times times = new EndpointAttempts.Times(plan.attemptTime(left), left);
            EndpointHttp.ConnectionUse connection = passage.needsNewConnection(endpoint)
                    ? EndpointHttp.ConnectionUse.NEW
                    : EndpointHttp.ConnectionUse.KEPT;
            EndpointAttempts.Opened opened = attempts.open(
                    request.outgoing(), endpoint, times, connection, relay.lastEventId(), watched::attach);
            AttemptResult result = opened.failure().orElseGet(() -> receive(opened));
            count(result, sentAt);
            note(endpoint, result);
            tell(endpoint, result);
            MonotonicTime now = DecisionLoop.now();
            synchronized (selection) {
                selection.end(endpoint);
                measure(endpoint, result, now.since(begun), times, now);
                opened.response()
                        .map(response -> dialect.load(response.headers()))
                        .ifPresent(load -> load.ifPresent(running -> selection.tell(endpoint, running, now)));
            }
            return result;
        }

        /**
         * Takes what an attempt says of its endpoint.
         *
         * @param endpoint The endpoint.
         * @param result What became of the attempt.
         * @param took How long it took.
         * @param times How long it might have taken.
         * @param now The present.
         */
        private void measure(
                RegisteredEndpoint endpoint,
                AttemptResult result,
                Duration took,
                EndpointAttempts.Times times,
                MonotonicTime now) {
            if (result instanceof AttemptResult.Whole || result instanceof AttemptResult.Relayed) {
                selection.succeed(endpoint, took, now);
            } else if (took.compareTo(times.untilHead()) >= 0) {
                selection.slow(endpoint, took, now);
            } else if (!watched.isGone() && !isWithheld(result)) {
                selection.fail(endpoint, now);
            }
        }

        /**
         * Returns whether a request was not sent for a reason that says nothing of how the endpoint fares.
         *
         * @param result What became of the attempt.
         * @return {@code true} if it was held back.
         */
        private boolean isWithheld(AttemptResult result) {
            return result instanceof AttemptResult.NotRun notRun
                    && notRun.cause() == AttemptResult.NotRunCause.WITHHELD;
        }

        /**
         * Reads or passes on an answer that has begun.
         *
         * @param opened The attempt in progress.
         * @return What became of it.
         */
        private AttemptResult receive(EndpointAttempts.Opened opened) {
            boolean success = opened.response().orElseThrow().isSuccessful();
            if (relay.hasBegun() && !success) {
                opened.discard();
                return EndpointAttempts.unusable("the stream was not resumed");
            }
            if (!success || !request.route().streaming()) {
                return attempts.readWhole(opened);
            }
            try {
                if (relay.relay(opened.response().get())) {
                    opened.response().get().close();
                    return new AttemptResult.Relayed(true);
                }
                AttemptResult result = attempts.lost(opened, "the stream broke off");
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
         * @param result What became of the attempt.
         * @param sentAt When it was sent, in milliseconds since the epoch.
         */
        private void count(AttemptResult result, long sentAt) {
            if (!counted && !(result instanceof AttemptResult.NotRun)) {
                counted = true;
                usage.count(request.outgoing().account(), sentAt);
            }
        }

        /**
         * Notes an attempt for logs.
         *
         * @param endpoint The endpoint.
         * @param result What became of it.
         */
        private void note(RegisteredEndpoint endpoint, AttemptResult result) {
            String text = "answered";
            if (result instanceof AttemptResult.NotRun notRun) {
                text = "not run: " + notRun.reason();
            } else if (result instanceof AttemptResult.MayHaveRun mayHaveRun) {
                text = "may have run: " + mayHaveRun.reason();
            } else if (result instanceof AttemptResult.Whole whole) {
                text = "status " + whole.status();
            }
            history.append(history.length() > 0 ? "; " : "")
                    .append(endpoint.name().value())
                    .append(' ')
                    .append(text);
        }

        /**
         * Tells what an attempt says of the request and its endpoint beyond the request itself.
         *
         * @param endpoint The endpoint.
         * @param result What became of the attempt.
         */
        private void tell(RegisteredEndpoint endpoint, AttemptResult result) {
            if (result instanceof AttemptResult.MayHaveRun mayHaveRun) {
                passage.lose(endpoint, mayHaveRun.loss());
                metrics.counter("gateway.lost-answers." + label(mayHaveRun.loss()))
                        .inc();
            } else if (result instanceof AttemptResult.NotRun notRun
                    && notRun.cause() == AttemptResult.NotRunCause.UNREACHABLE) {
                passage.findGone(endpoint);
            } else if (isSuccess(result)) {
                passage.serve();
            }
        }

        /**
         * Returns how far the request has come.
         *
         * @return The progress.
         */
        private UnservedRequests.Progress progress() {
            if (relay.hasBegun()) {
                return UnservedRequests.Progress.STREAM_BEGUN;
            }
            return plan.hasMaybeRun() ? UnservedRequests.Progress.MAY_HAVE_RUN : UnservedRequests.Progress.NOT_RUN;
        }

        /**
         * Answers a request for which no attempt is left.
         *
         * @param reason Why, for logs.
         * @param status The status if the request may have run.
         * @return The outcome, for logs.
         * @throws IOException If the caller has gone.
         */
        private String giveUp(String reason, int status) throws IOException {
            return unserved.giveUp(caller, progress(), pool, reason, status);
        }
    }
}
