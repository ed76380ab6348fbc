package io.yuccaswitch.platform;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import okhttp3.Request;
import org.jboss.logging.Logger;

/**
 * Carries out the decision core's calls to the platform. Each call is answered by exactly one event that bears its
 * token, and nothing here ever waits on the caller's thread.
 *
 * <p>Reads are repeated within a retry budget. A write or deletion is sent at most once: if its answer is lost, the
 * event says that it may have taken effect, and whoever made the call settles it by reading. Calls that exceed the
 * client's rates, and calls while the platform is out of service, are answered without being sent.
 */
public final class PlatformClient implements AutoCloseable {

    /** The largest value that the platform takes. */
    public static final int MAXIMUM_VALUE_SIZE = 1 << 20;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(PlatformClient.class);

    /** The source of the randomness of waits, which draws from the calling thread's own generator. */
    private static final RandomGenerator RANDOM =
            () -> ThreadLocalRandom.current().nextLong();

    /** The waits that are added before a watch that the circuit refused is answered. */
    private static final FullJitterBackoff REFUSED_WATCH_WAIT =
            new FullJitterBackoff(Duration.ofMillis(200), Duration.ofMillis(200), RANDOM);

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock = System::nanoTime;

    /** How long a watch waits that does not say so itself. */
    private final Duration watchWait;

    /** The sender of requests. */
    private final HttpTransport transport;

    /** How calls are written and answers read. */
    private final ObjectApiDialect dialect;

    /** The calls that may be made now. */
    private final CallBudget budget;

    /** The repetitions that may be made now. */
    private final RetryBudget retryBudget;

    /** The waits before repetitions. */
    private final FullJitterBackoff retryBackoff;

    /** The largest number of attempts of one read. */
    private final int maximumAttempts;

    /** Keeps calls from a platform that fails. */
    private final Circuit circuit;

    /** The metrics. */
    private final CallMetrics metrics;

    /**
     * Creates a client, which does not connect before the first call.
     *
     * @param settings The settings.
     * @param registry The registry that takes the client's metrics.
     */
    public PlatformClient(PlatformClientSettings settings, MetricRegistry registry) {
        this(settings, registry, new StandardDialect(settings));
    }

    /**
     * Creates a client that speaks another dialect.
     *
     * @param settings The settings.
     * @param registry The registry of metrics.
     * @param dialect How calls are written and answers read.
     */
    public PlatformClient(PlatformClientSettings settings, MetricRegistry registry, ObjectApiDialect dialect) {
        transport = new HttpTransport(settings);
        watchWait = settings.watchWait();
        this.dialect = dialect;
        budget = new CallBudget(settings.rates(), clock);
        RetrySettings retry = settings.retry();
        retryBudget = new RetryBudget(retry.share());
        retryBackoff = new FullJitterBackoff(retry.firstWait(), retry.maximumWait(), RANDOM);
        maximumAttempts = retry.attempts();
        CircuitSettings waits = settings.circuit();
        circuit = new Circuit(
                waits.failures(),
                new FullJitterBackoff(waits.firstWait(), waits.maximumWait(), RANDOM),
                waits.maximumLeaseWait(),
                clock,
                this::platformReturned);
        metrics = new CallMetrics(registry, clock);
        metrics.observe(circuit);
    }

    /**
     * Carries out a call once the result is subscribed to.
     *
     * @param effect The call.
     * @return The event that answers the call. It never fails. It may come on a thread of the client or, if the call is
     *     not sent at all, on the subscribing thread.
     */
    public Single<PlatformEvent> execute(PlatformEffect effect) {
        if (effect instanceof PlatformEffect.Write write && write.value().size() > MAXIMUM_VALUE_SIZE) {
            Attempt refused = Attempt.unavailable(
                    effect.token(), false, "value of " + write.value().size() + " bytes", Outcome.TOO_LARGE);
            return Single.fromSupplier(() -> finish(effect, refused).event());
        }
        return Single.defer(() -> {
                    retryBudget.earn();
                    return attempt(effect, 1);
                })
                .map(Attempt::event)
                .flatMap(event -> remainingPages(effect, event))
                .flatMap(event -> conflictingObject(effect, event));
    }

    /**
     * Reads the object that a write conflicts with, if the answer did not bear it.
     *
     * @param effect The call.
     * @param event The answer to the call.
     * @return The answer with the object, if there is one.
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
     * Reads the further pages of a list.
     *
     * @param effect The call.
     * @param event The answer to the call.
     * @return The answer with the objects of all pages and the version of the first one, from which a watch misses
     *     nothing.
     */
    private Single<PlatformEvent> remainingPages(PlatformEffect effect, PlatformEvent event) {
        if (!(effect instanceof PlatformEffect.ListKind list)
                || !(event instanceof PlatformEvent.ObjectsListed page)
                || !page.more()
                || page.objects().isEmpty()) {
            return Single.just(event);
        }
        String last = page.objects().get(page.objects().size() - 1).key().name();
        return execute(list.withAfter(last)).map(rest -> join(page, rest));
    }

    /**
     * Joins a page with the answer for the pages behind it.
     *
     * @param page The page.
     * @param rest The answer for the pages behind it.
     * @return The joined list, or the failure of the further pages.
     */
    private static PlatformEvent join(PlatformEvent.ObjectsListed page, PlatformEvent rest) {
        if (!(rest instanceof PlatformEvent.ObjectsListed further)) {
            return rest;
        }
        List<StoredObject> objects = new ArrayList<>(page.objects());
        objects.addAll(further.objects());
        return new PlatformEvent.ObjectsListed(page.token(), objects, page.version(), false);
    }

    /**
     * Changes the rates at which this client calls, such as when the number of clients changed.
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
    public Optional<Duration> sinceHeard() {
        return metrics.sinceHeard();
    }

    /**
     * Returns the numbers of calls that were sent so far, repeated ones included.
     *
     * @return The numbers by the purposes of the calls, without those for which none was sent.
     */
    public Map<PlatformPurpose, Long> sentCalls() {
        return metrics.sent();
    }

    /**
     * Returns whether calls are refused because the platform is out of service.
     *
     * @return {@code true} while the circuit is open.
     */
    public boolean isCircuitOpen() {
        return circuit.isOpen();
    }

    /**
     * Returns the number of watches that wait for changes.
     *
     * @return The number.
     */
    int waitingWatches() {
        return transport.waitingWatches();
    }

    /** Cancels all calls in flight, which are thereby answered as unavailable, and releases threads and connections. */
    @Override
    public void close() {
        transport.close();
    }

    /**
     * Makes an attempt, and further ones if the call may be repeated.
     *
     * @param effect The call.
     * @param number The number of the attempt, from one.
     * @return The result of the last attempt.
     */
    private Single<Attempt> attempt(PlatformEffect effect, int number) {
        return send(effect, number > 1).flatMap(attempt -> {
            finish(effect, attempt);
            if (!mayRepeat(effect, attempt, number)) {
                return Single.just(attempt);
            }
            return delay(retryBackoff.wait(number)).flatMap(_waited -> attempt(effect, number + 1));
        });
    }

    /**
     * Decides whether a call is repeated.
     *
     * @param effect The call.
     * @param attempt The result of the last attempt.
     * @param number The number of the last attempt, from one.
     * @return {@code true} if it is.
     */
    private boolean mayRepeat(PlatformEffect effect, Attempt attempt, int number) {
        return !PlatformReplies.changes(effect)
                && !(effect instanceof PlatformEffect.Watch)
                && attempt.outcome().isRepeatable()
                && number < maximumAttempts
                && retryBudget.tryTake();
    }

    /**
     * Sends a call if it may be.
     *
     * @param effect The call.
     * @param repeated Whether an earlier attempt was made.
     * @return The result.
     */
    private Single<Attempt> send(PlatformEffect effect, boolean repeated) {
        Circuit.Admission admission = circuit.admit(effect.purpose());
        if (admission == Circuit.Admission.REFUSE) {
            return refusedByCircuit(effect);
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
                    Attempt attempt = PlatformReplies.decode(dialect, effect, reply);
                    if (reply instanceof Reply.Answered) {
                        metrics.heard(effect.purpose(), sentAt, !watches);
                    }
                    if (reply instanceof Reply.Failed failed && failed.abandoned()) {
                        circuit.abandoned(admission);
                        return attempt;
                    }
                    note(admission, attempt.outcome());
                    if (reply instanceof Reply.Failed && !watches) {
                        transport.abandonWatches();
                    }
                    return attempt;
                });
    }

    /**
     * Sends a request, with the time that its call may take.
     *
     * @param effect The call.
     * @param request The request.
     * @return What becomes of it.
     */
    private Single<Reply> reply(PlatformEffect effect, Request request) {
        return effect instanceof PlatformEffect.Watch watch
                ? transport.sendWatch(request, watch.waitTime().orElse(watchWait))
                : transport.send(request);
    }

    /**
     * Answers a call that the circuit refuses. A watch is a waiting call, so it is answered when the next probe is due,
     * and whoever repeats it at once does not repeat it without pause.
     *
     * @param effect The call.
     * @return The result.
     */
    private Single<Attempt> refusedByCircuit(PlatformEffect effect) {
        Attempt attempt =
                Attempt.unavailable(effect.token(), false, "the platform is out of service", Outcome.CIRCUIT_OPEN);
        return effect instanceof PlatformEffect.Watch
                ? delay(circuit.untilProbe().plus(REFUSED_WATCH_WAIT.wait(1))).map(_waited -> attempt)
                : Single.just(attempt);
    }

    /**
     * Tells the circuit and the budget what became of an attempt.
     *
     * @param admission How the circuit let the call through.
     * @param outcome The outcome.
     */
    private void note(Circuit.Admission admission, Outcome outcome) {
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
        metrics.finished(effect.purpose(), attempt.outcome());
        if (attempt.event() instanceof PlatformEvent.Unavailable unavailable) {
            LOGGER.debugf(
                    "event=platform-unavailable purpose=%s outcome=%s maybeApplied=%s reason=\"%s\"",
                    effect.purpose(), attempt.outcome().label(), unavailable.maybeApplied(), unavailable.reason());
        }
        return attempt;
    }

    /** Slows down the first calls after an outage, for which much has piled up everywhere. */
    private void platformReturned() {
        budget.drain();
        LOGGER.info("event=platform-returned");
    }

    /**
     * Waits without occupying a thread.
     *
     * @param wait The time to wait.
     * @return An element once the time is over.
     */
    private static Single<Long> delay(Duration wait) {
        return Single.timer(wait.toNanos(), TimeUnit.NANOSECONDS, Schedulers.computation());
    }
}
