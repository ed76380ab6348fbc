package io.yuccaswitch.platform;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import okhttp3.Request;
import org.jboss.logging.Logger;

/**
 * Executes the decision core's calls to the platform. Each call is answered by exactly one event with the call's token,
 * and no method blocks the calling thread.
 *
 * <p>Reads are retried within a retry budget. A write or deletion is sent at most once: if its answer is lost, the
 * event reports that it may have taken effect, and the caller must read the object to find out. Calls that exceed the
 * client's rate limits, and calls while the circuit is open, are answered without being sent.
 */
public final class PlatformClient implements AutoCloseable {

    /** The maximum size in bytes of a value that the platform accepts. */
    public static final int MAXIMUM_VALUE_SIZE = 1 << 20;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(PlatformClient.class);

    /** The random number generator for delays, which delegates to the calling thread's generator. */
    private static final RandomGenerator RANDOM =
            () -> ThreadLocalRandom.current().nextLong();

    /** The additional delay before a watch that the circuit rejected is answered. */
    private static final FullJitterBackoff REJECTED_WATCH_BACKOFF =
            new FullJitterBackoff(Duration.ofMillis(200), Duration.ofMillis(200), RANDOM);

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock = System::nanoTime;

    /** The wait time of a watch that does not specify one. */
    private final Duration watchWait;

    /** The sender of requests. */
    private final HttpTransport transport;

    /** The dialect that encodes calls and decodes answers. */
    private final ObjectApiDialect dialect;

    /** The rate limits of calls. */
    private final CallBudget budget;

    /** The budget of retries. */
    private final RetryBudget retryBudget;

    /** The backoff before retries. */
    private final FullJitterBackoff retryBackoff;

    /** The maximum number of attempts of one read. */
    private final int maximumAttempts;

    /** The circuit breaker for a failing platform. */
    private final Circuit circuit;

    /** The metrics. */
    private final CallMetrics metrics;

    /**
     * Creates a client, which connects on the first call.
     *
     * @param settings The settings.
     * @param registry The registry for the client's metrics.
     */
    public PlatformClient(PlatformClientSettings settings, MetricRegistry registry) {
        this(settings, registry, new StandardDialect(settings));
    }

    /**
     * Creates a client with a custom dialect.
     *
     * @param settings The settings.
     * @param registry The registry of metrics.
     * @param dialect The dialect that encodes calls and decodes answers.
     */
    public PlatformClient(PlatformClientSettings settings, MetricRegistry registry, ObjectApiDialect dialect) {
        transport = new HttpTransport(settings, registry);
        watchWait = settings.watchWait();
        this.dialect = dialect;
        budget = new CallBudget(settings.rates(), clock);
        RetrySettings retry = settings.retry();
        retryBudget = new RetryBudget(retry.retriesPerCall());
        retryBackoff = new FullJitterBackoff(retry.initialDelay(), retry.maximumDelay(), RANDOM);
        maximumAttempts = retry.attempts();
        CircuitSettings circuitSettings = settings.circuit();
        circuit = new Circuit(
                circuitSettings.failures(),
                new FullJitterBackoff(circuitSettings.initialDelay(), circuitSettings.maximumDelay(), RANDOM),
                circuitSettings.maximumLeaseDelay(),
                clock,
                this::onPlatformRecovered);
        metrics = new CallMetrics(registry, clock);
        metrics.registerCircuitGauge(circuit);
    }

    /**
     * Executes a call once the result is subscribed to.
     *
     * @param effect The call.
     * @return The event that answers the call. The single never fails. It may emit on a thread of the client or, if the
     *     call is not sent, on the subscribing thread.
     */
    public Single<PlatformEvent> execute(PlatformEffect effect) {
        if (effect instanceof PlatformEffect.Write write && write.value().size() > MAXIMUM_VALUE_SIZE) {
            Attempt oversized = Attempt.unavailable(
                    effect.token(), false, "value of " + write.value().size() + " bytes", Outcome.TOO_LARGE);
            return Single.fromSupplier(() -> finish(effect, oversized).event());
        }
        Single<PlatformEvent> answer =
                effect instanceof PlatformEffect.ListKind list ? listPages(list) : attempts(effect);
        return answer.flatMap(event -> conflictingObject(effect, event))
                .onErrorReturn(failure -> failed(effect, failure).event());
    }

    /**
     * Makes the attempts of a call.
     *
     * @param effect The call.
     * @return The answer to the last attempt.
     */
    private Single<PlatformEvent> attempts(PlatformEffect effect) {
        return Single.defer(() -> {
                    retryBudget.earn();
                    return attempt(effect, 1);
                })
                .map(Attempt::event);
    }

    /**
     * Reads all pages of a list. The repetition is a loop: a long list would exhaust the stack of a recursion.
     *
     * @param list The call.
     * @return The answer with the objects of all pages.
     */
    private Single<PlatformEvent> listPages(PlatformEffect.ListKind list) {
        return Single.defer(() -> {
            PagedList pages = new PagedList(list);
            return Single.defer(() -> pages.delay().isZero()
                            ? attempts(pages.next())
                            : delay(pages.delay()).flatMap(_waited -> attempts(pages.next())))
                    .doOnSuccess(event -> receive(pages, event))
                    .repeatUntil(pages::isComplete)
                    .ignoreElements()
                    .andThen(Single.fromSupplier(pages::result));
        });
    }

    /**
     * Adds a page to a list. RxJava passes on the exception, but not an error of the virtual machine.
     *
     * @param pages The list.
     * @param event The answer to the call for the page.
     */
    private static void receive(PagedList pages, PlatformEvent event) {
        try {
            pages.receive(event);
        } catch (VirtualMachineError error) {
            throw new IllegalStateException("list exceeds the memory", error);
        }
    }

    /**
     * Creates the result of a call whose processing failed.
     *
     * @param effect The call.
     * @param failure The failure.
     * @return The result, which reports that a write may have taken effect.
     */
    private static Attempt failed(PlatformEffect effect, Throwable failure) {
        LOGGER.errorf(failure, "event=platform-call-failed purpose=%s", effect.purpose());
        return Attempt.unavailable(
                effect.token(), PlatformReplies.changes(effect), "failure: " + failure, Outcome.FAILED);
    }

    /**
     * Reads the object that a write conflicts with, if the answer did not contain it.
     *
     * @param effect The call.
     * @param event The answer to the call.
     * @return The answer with the object, if it exists.
     */
    private Single<PlatformEvent> conflictingObject(PlatformEffect effect, PlatformEvent event) {
        if (!(effect instanceof PlatformEffect.Write write)
                || !(event instanceof PlatformEvent.Conflict conflict)
                || conflict.current().isPresent()) {
            return Single.just(event);
        }
        return execute(new PlatformEffect.Read(write.token(), write.purpose(), write.key()))
                .map(read -> read instanceof PlatformEvent.ObjectRead found
                        ? new PlatformEvent.Conflict(write.token(), found.object())
                        : event);
    }

    /**
     * Changes the rate limits of this client, for example when the number of clients has changed.
     *
     * @param rates The new rates.
     */
    public void changeRates(CallRates rates) {
        budget.changeRates(rates);
    }

    /**
     * Returns the time since the platform last answered.
     *
     * @return The time, or empty if it never answered.
     */
    public Optional<Duration> timeSinceLastAnswer() {
        return metrics.timeSinceLastAnswer();
    }

    /**
     * Returns the number of calls sent so far for each purpose, including retries.
     *
     * @return The number of calls by purpose, without purposes that have none.
     */
    public Map<PlatformPurpose, Long> sentCalls() {
        return metrics.sent();
    }

    /**
     * Returns whether calls are rejected because the platform is failing.
     *
     * @return {@code true} while the circuit is open.
     */
    public boolean isCircuitOpen() {
        return circuit.isOpen();
    }

    /**
     * Returns the number of watches in flight.
     *
     * @return The number.
     */
    int watchesInFlight() {
        return transport.watchesInFlight();
    }

    /** Cancels all calls in flight, which are answered as unavailable, and releases threads and connections. */
    @Override
    public void close() {
        transport.close();
    }

    /**
     * Makes an attempt, and further attempts if the call may be retried.
     *
     * @param effect The call.
     * @param number The number of the attempt, starting at one.
     * @return The result of the last attempt.
     */
    private Single<Attempt> attempt(PlatformEffect effect, int number) {
        return send(effect, number > 1).flatMap(attempt -> {
            finish(effect, attempt);
            if (!mayRetry(effect, attempt, number)) {
                return Single.just(attempt);
            }
            return delay(retryBackoff.delayAfter(number)).flatMap(_waited -> attempt(effect, number + 1));
        });
    }

    /**
     * Decides whether a call is retried, and takes the retry from the budget.
     *
     * @param effect The call.
     * @param attempt The result of the last attempt.
     * @param number The number of the last attempt, starting at one.
     * @return {@code true} if the call is retried.
     */
    private boolean mayRetry(PlatformEffect effect, Attempt attempt, int number) {
        return !PlatformReplies.changes(effect)
                && !(effect instanceof PlatformEffect.Watch)
                && attempt.outcome().isRetryable()
                && number < maximumAttempts
                && retryBudget.tryTake();
    }

    /**
     * Sends a call if the circuit and the rate limits allow it.
     *
     * @param effect The call.
     * @param repeated Whether this is a retry.
     * @return The result.
     */
    private Single<Attempt> send(PlatformEffect effect, boolean repeated) {
        Circuit.Admission admission = circuit.admit(effect.purpose());
        if (admission == Circuit.Admission.REFUSE) {
            return rejectedByCircuit(effect);
        }
        boolean changes = PlatformReplies.changes(effect);
        if (!budget.tryAcquire(effect.purpose(), changes)) {
            circuit.abandoned(admission);
            return Single.just(Attempt.unavailable(
                    effect.token(), false, "the client's rate is exhausted", Outcome.BUDGET_EXHAUSTED));
        }
        metrics.sent(effect.purpose(), repeated);
        long sentAt = clock.getAsLong();
        boolean watches = effect instanceof PlatformEffect.Watch;
        return reply(effect, dialect.request(effect, admission == Circuit.Admission.PROBE))
                .doOnDispose(() -> circuit.abandoned(admission))
                .map(reply -> {
                    Attempt attempt = decode(effect, reply);
                    if (reply instanceof Reply.Answered) {
                        metrics.recordAnswer(effect.purpose(), sentAt, !watches);
                    }
                    if (reply instanceof Reply.Failed failed && failed.cancelled()) {
                        circuit.abandoned(admission);
                        return attempt;
                    }
                    reportOutcome(admission, attempt.outcome());
                    if (reply instanceof Reply.Failed && !watches) {
                        transport.cancelWatches();
                    }
                    return attempt;
                });
    }

    /**
     * Decodes a reply. RxJava does not pass on errors of the virtual machine, so these are converted here: a call
     * without an answer would make its caller wait forever.
     *
     * @param effect The call.
     * @param reply The reply.
     * @return The result.
     */
    private Attempt decode(PlatformEffect effect, Reply reply) {
        try {
            return PlatformReplies.decode(dialect, effect, reply);
        } catch (RuntimeException | Error failure) {
            return failed(effect, failure);
        }
    }

    /**
     * Sends a request with the timeout of its call.
     *
     * @param effect The call.
     * @param request The request.
     * @return The reply.
     */
    private Single<Reply> reply(PlatformEffect effect, Request request) {
        return effect instanceof PlatformEffect.Watch watch
                ? transport.sendWatch(request, watch.watchTimeout().orElse(watchWait))
                : transport.send(request);
    }

    /**
     * Answers a call that the circuit rejected. A watch is a waiting call, so it is answered when the next probe is
     * due: a caller that repeats it immediately would otherwise loop without a delay.
     *
     * @param effect The call.
     * @return The result.
     */
    private Single<Attempt> rejectedByCircuit(PlatformEffect effect) {
        Attempt attempt =
                Attempt.unavailable(effect.token(), false, "the platform is out of service", Outcome.CIRCUIT_OPEN);
        return effect instanceof PlatformEffect.Watch
                ? delay(circuit.timeUntilProbe().plus(REJECTED_WATCH_BACKOFF.delayAfter(1)))
                        .map(_waited -> attempt)
                : Single.just(attempt);
    }

    /**
     * Reports the outcome of an attempt to the circuit and the call budget.
     *
     * @param admission The admission decision of the circuit.
     * @param outcome The outcome.
     */
    private void reportOutcome(Circuit.Admission admission, Outcome outcome) {
        if (!outcome.isHealthy()) {
            circuit.failed(admission);
            return;
        }
        circuit.succeeded();
        if (outcome == Outcome.RATE_LIMITED) {
            budget.drain();
        }
    }

    /**
     * Counts and logs the result of an attempt.
     *
     * @param effect The call.
     * @param attempt The result.
     * @return The result.
     */
    private Attempt finish(PlatformEffect effect, Attempt attempt) {
        metrics.recordOutcome(effect.purpose(), attempt.outcome());
        if (attempt.event() instanceof PlatformEvent.Unavailable unavailable) {
            LOGGER.logf(
                    attempt.outcome() == Outcome.UNREADABLE ? Logger.Level.WARN : Logger.Level.DEBUG,
                    "event=platform-unavailable purpose=%s outcome=%s maybeApplied=%s reason=\"%s\"",
                    effect.purpose(),
                    attempt.outcome().label(),
                    unavailable.maybeApplied(),
                    unavailable.reason());
        }
        return attempt;
    }

    /** Limits the first calls after an outage to the steady rate, since calls have accumulated at all clients. */
    private void onPlatformRecovered() {
        budget.drain();
        LOGGER.info("event=platform-returned");
    }

    /**
     * Waits without blocking a thread.
     *
     * @param duration The time to wait.
     * @return A single that emits after the delay.
     */
    private static Single<Long> delay(Duration duration) {
        return Single.timer(duration.toNanos(), TimeUnit.NANOSECONDS, Schedulers.computation());
    }
}
