package io.yuccaswitch.node.gateway;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.admission.AdmissionRequest;
import io.yuccaswitch.core.admission.AdmissionVerdict;
import io.yuccaswitch.core.admission.PoolAdmission;
import io.yuccaswitch.core.admission.PoolSituation;
import io.yuccaswitch.core.admission.RetryReservations;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.proxy.ReportedLoad;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jboss.logging.Logger;

/** Assigns endpoints with free slots, and lets requests wait for a short time while there is none. */
final class QueuedAssignment implements EndpointAssignment {

    /**
     * The maximum number of waiting requests. Each blocks one of the server's 96 threads, of which half remain for
     * requests at endpoints and for immediate refusals.
     */
    private static final int MAXIMUM_WAITING = 48;

    /** The account of requests without one. */
    private static final CallerName NO_ACCOUNT = new CallerName("none");

    /** The prefix of accounts in shares, which keeps them apart from requests without one. */
    private static final String ACCOUNT_PREFIX = "account.";

    /** The weight of each account. Accounts have no weights in the configuration yet. */
    private static final int WEIGHT = 1;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger("io.yuccaswitch.request");

    /** The view of the core. */
    private final GatewayView view;

    /** Chooses endpoints. Guarded by its own monitor, which is taken after the lock. */
    private final EndpointSelection selection;

    /** The metrics. */
    private final MetricRegistry metrics;

    /** Guards all other state. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The decisions on each pool. */
    private final Map<PoolName, PoolAdmission> pools = new HashMap<>();

    /** The requests without a decision, by number. */
    private final Map<Long, Waiter> waiters = new HashMap<>();

    /** The number of the latest request. */
    private long latestId;

    /**
     * Creates an assignment.
     *
     * @param view The view of the core.
     * @param selection Chooses endpoints.
     * @param metrics The metrics.
     */
    QueuedAssignment(GatewayView view, EndpointSelection selection, MetricRegistry metrics) {
        this.view = view;
        this.selection = selection;
        this.metrics = metrics;
        metrics.gauge("gateway.admission.waiting", () -> this::waiting);
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return The number.
     */
    int waiting() {
        lock.lock();
        try {
            return waiters.size();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Assigned assign(Claim claim) {
        if (claim.pool().isEmpty()) {
            return new Assigned.None(AdmissionVerdict.Reason.NO_ENDPOINT.text());
        }
        PoolName pool = claim.pool().get();
        lock.lock();
        try {
            PoolSituation situation = situation(pool);
            Waiter waiter = new Waiter(claim, admissionRequest(claim, situation.now()), lock.newCondition());
            waiters.put(waiter.request.id(), waiter);
            synchronized (selection) {
                settle(pool, admission(pool).arrive(waiter.request, situation));
            }
            if (waiter.verdict.isEmpty() && waiters.size() > MAXIMUM_WAITING) {
                withdraw(pool, waiter);
                countRefusal(AdmissionVerdict.Reason.QUEUE_FULL);
                log(waiter, "refused", AdmissionVerdict.Reason.QUEUE_FULL.text(), Optional.empty());
                return new Assigned.None(AdmissionVerdict.Reason.QUEUE_FULL.text());
            }
            return await(pool, waiter);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void reported(RegisteredEndpoint endpoint, ReportedLoad load) {
        lock.lock();
        try {
            PoolSituation situation = situation(endpoint.pool());
            synchronized (selection) {
                PoolAdmission admission = admission(endpoint.pool());
                selection.recordLoad(endpoint, load.requests(), situation.now());
                admission.recordLoad(endpoint, load, situation);
                settle(endpoint.pool(), admission.advance(situation));
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void end(Claim claim, RegisteredEndpoint endpoint, Optional<Ended> ended) {
        lock.lock();
        try {
            PoolSituation situation = situation(endpoint.pool());
            synchronized (selection) {
                PoolAdmission admission = admission(endpoint.pool());
                selection.end(endpoint);
                admission.end(accountOf(claim));
                ended.ifPresent(attempt -> record(admission, endpoint, attempt, situation));
                settle(endpoint.pool(), admission.advance(situation));
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Duration retryDelay(Claim claim) {
        PlainRequest request = claim.request();
        RetryReservations.Caller caller = new RetryReservations.Caller(accountOf(claim), WEIGHT, request.priority());
        lock.lock();
        try {
            PoolName pool = claim.pool().orElseGet(() -> new PoolName("none"));
            PoolSituation situation = situation(pool);
            Duration remaining = request.timeLeft(situation.now());
            synchronized (selection) {
                Duration delay = admission(pool)
                        .retryDelay(
                                caller,
                                remaining,
                                situation,
                                ThreadLocalRandom.current().nextDouble());
                LOGGER.infof(
                        "event=retry-time id=%s pool=%s account=%s priority=%d remainingMillis=%d delayMillis=%d",
                        request.id(),
                        pool,
                        caller.account(),
                        caller.priority(),
                        remaining.toMillis(),
                        delay.toMillis());
                return delay;
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void endpointsChanged() {
        lock.lock();
        try {
            synchronized (selection) {
                pools.forEach((pool, admission) -> {
                    PoolSituation situation = situation(pool);
                    admission.retain(situation);
                    settle(pool, admission.advance(situation));
                });
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void stopLimited() {
        lock.lock();
        try {
            waiters.values().forEach(waiter -> waiter.changed.signal());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Blocks until there is a decision on a request.
     *
     * @param pool The pool.
     * @param waiter The request.
     * @return The assignment.
     */
    private Assigned await(PoolName pool, Waiter waiter) {
        waiter.claim.watched().onDisconnect(() -> signal(waiter));
        try {
            while (waiter.verdict.isEmpty()) {
                if (waiter.claim.watched().isDisconnected()) {
                    withdraw(pool, waiter);
                    log(waiter, "caller-gone", "the caller disconnected", Optional.empty());
                    return new Assigned.CallerGone();
                }
                if (waiter.claim.stage() != AdmissionRequest.Stage.MAY_HAVE_RUN
                        && !view.admits(waiter.claim.request().deadline())) {
                    withdraw(pool, waiter);
                    log(waiter, "refused", UnservedRequests.STOPPING, Optional.empty());
                    return new Assigned.None(UnservedRequests.STOPPING);
                }
                Duration pause;
                PoolSituation before = situation(pool);
                synchronized (selection) {
                    pause = admission(pool).untilNextChange(waiter.request, before);
                }
                waiter.changed.awaitNanos(pause.toNanos());
                if (waiter.verdict.isEmpty()) {
                    PoolSituation after = situation(pool);
                    synchronized (selection) {
                        settle(pool, admission(pool).advance(after));
                    }
                }
            }
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
            if (waiter.verdict.isEmpty()) {
                withdraw(pool, waiter);
                return new Assigned.None(UnservedRequests.STOPPING);
            }
        } finally {
            waiter.claim.watched().onDisconnect(() -> {});
        }
        return waiter.assigned();
    }

    /**
     * Wakes a waiting request.
     *
     * @param waiter The request.
     */
    private void signal(Waiter waiter) {
        lock.lock();
        try {
            waiter.changed.signal();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Removes a request without a decision.
     *
     * @param pool The pool.
     * @param waiter The request.
     */
    private void withdraw(PoolName pool, Waiter waiter) {
        waiters.remove(waiter.request.id());
        admission(pool).withdraw(waiter.request);
    }

    /**
     * Records decisions, and wakes their requests.
     *
     * @param pool The pool.
     * @param verdicts The decisions.
     */
    private void settle(PoolName pool, List<AdmissionVerdict> verdicts) {
        for (AdmissionVerdict verdict : verdicts) {
            Waiter waiter = waiters.remove(verdict.request().id());
            waiter.verdict = Optional.of(verdict);
            waiter.changed.signal();
            if (verdict instanceof AdmissionVerdict.Refused refused) {
                countRefusal(refused.reason());
                log(waiter, "refused", refused.reason().text(), Optional.of(verdict.inputs()));
            } else if (verdict instanceof AdmissionVerdict.Granted granted) {
                Duration waited = granted.inputs().waited();
                boolean atOnce = waited.isZero();
                metrics.counter(atOnce ? "gateway.admission.immediate" : "gateway.admission.queued")
                        .inc();
                if (!atOnce) {
                    metrics.timer("gateway.admission.wait").update(waited.toNanos(), TimeUnit.NANOSECONDS);
                    String reason = "a slot is free at " + granted.endpoint().name() + " of " + pool;
                    log(waiter, "granted", reason, Optional.of(verdict.inputs()));
                }
            }
        }
    }

    /**
     * Counts a refusal.
     *
     * @param reason The reason.
     */
    private void countRefusal(AdmissionVerdict.Reason reason) {
        String label = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
        metrics.counter("gateway.admission.refused." + label).inc();
    }

    /**
     * Logs a decision.
     *
     * @param waiter The request.
     * @param outcome The outcome.
     * @param reason The reason.
     * @param inputs The inputs of the decision, if they were computed.
     */
    private void log(Waiter waiter, String outcome, String reason, Optional<AdmissionVerdict.Inputs> inputs) {
        AdmissionRequest request = waiter.request;
        LOGGER.infof(
                "event=admission id=%s pool=%s account=%s priority=%d outcome=%s reason=\"%s\" nodes=%d %s",
                waiter.claim.request().id(),
                waiter.claim.pool().map(PoolName::value).orElse("none"),
                request.account(),
                request.priority(),
                outcome,
                reason,
                view.addresses().size(),
                inputs.map(QueuedAssignment::describe).orElseGet(() -> "waiting=" + waiters.size()));
    }

    /**
     * Describes the inputs of a decision.
     *
     * @param inputs The inputs.
     * @return The fields of a log line.
     */
    private static String describe(AdmissionVerdict.Inputs inputs) {
        return String.format(
                Locale.ROOT,
                "waitedMillis=%d ahead=%d queued=%d slots=%d slotMillis=%d reports=%d endpoints=%d",
                inputs.waited().toMillis(),
                inputs.ahead(),
                inputs.queued(),
                inputs.slots(),
                inputs.slotTime().toMillis(),
                inputs.reports(),
                inputs.endpoints());
    }

    /**
     * Records the end of an attempt. The time of an answer is divided by the slowness that came with it, because the
     * selection multiplies its estimate by the slowness at the time of the choice.
     *
     * @param admission The decisions on the pool.
     * @param endpoint The endpoint.
     * @param ended How the attempt ended.
     * @param situation The state of the pool.
     */
    private void record(PoolAdmission admission, RegisteredEndpoint endpoint, Ended ended, PoolSituation situation) {
        if (ended.isAnswered() && !ended.callerGone()) {
            admission.recordAnswer(endpoint, ended.duration());
        }
        if (ended.isNotRun(AttemptResult.NotRunCause.REFUSED)) {
            admission.recordRefusal(endpoint, situation);
            return;
        }
        double slowness = ended.load().map(ReportedLoad::slowness).orElse(1.0);
        Duration usual = Duration.ofNanos((long) (ended.duration().toNanos() / slowness));
        ImmediateAssignment.record(selection, endpoint, ended, usual, situation.now());
    }

    /**
     * Returns the decisions on a pool.
     *
     * @param pool The pool.
     * @return The decisions.
     */
    private PoolAdmission admission(PoolName pool) {
        return pools.computeIfAbsent(
                pool,
                _pool -> new PoolAdmission(
                        selection, new PoolAdmission.Limits(MAXIMUM_WAITING, PoolAdmission.Limits.DEFAULT.bytes())));
    }

    /**
     * Returns the state of a pool.
     *
     * @param pool The pool.
     * @return The state.
     */
    private PoolSituation situation(PoolName pool) {
        return new PoolSituation(view.endpoints(pool), view.addresses().size(), DecisionLoop.now());
    }

    /**
     * Returns the form of a claim on which the core decides.
     *
     * @param claim The claim.
     * @param now The current time.
     * @return The request.
     */
    private AdmissionRequest admissionRequest(Claim claim, MonotonicTime now) {
        PlainRequest request = claim.request();
        latestId++;
        return new AdmissionRequest(
                latestId,
                accountOf(claim),
                WEIGHT,
                request.priority(),
                request.outgoing().body().size(),
                new AdmissionRequest.Times(
                        claim.arrivedAt(),
                        now,
                        request.deadline(),
                        request.route().latencyTarget(),
                        request.route().streaming()),
                claim.stage(),
                claim.avoided());
    }

    /**
     * Returns the account to whose share a request is charged.
     *
     * @param claim The request.
     * @return The account.
     */
    private static CallerName accountOf(Claim claim) {
        Optional<AccountName> account = claim.request().outgoing().account();
        return account.map(name -> new CallerName(ACCOUNT_PREFIX + name.value()))
                .orElse(NO_ACCOUNT);
    }

    /** A request that waits for a decision. */
    private static final class Waiter {

        /** The claim. */
        private final Claim claim;

        /** The form of the claim on which the core decides. */
        private final AdmissionRequest request;

        /** Signalled when there is a decision, or the caller has disconnected. */
        private final Condition changed;

        /** The decision, if there is one. */
        private Optional<AdmissionVerdict> verdict = Optional.empty();

        /**
         * Creates a request without a decision.
         *
         * @param claim The claim.
         * @param request The form of the claim on which the core decides.
         * @param changed Signalled when there is a decision, or the caller has disconnected.
         */
        private Waiter(Claim claim, AdmissionRequest request, Condition changed) {
            this.claim = claim;
            this.request = request;
            this.changed = changed;
        }

        /**
         * Returns the assignment that follows from the decision.
         *
         * @return The assignment.
         */
        private Assigned assigned() {
            AdmissionVerdict decided = verdict.orElseThrow();
            return decided instanceof AdmissionVerdict.Granted granted
                    ? new Assigned.To(granted.endpoint())
                    : new Assigned.None(
                            ((AdmissionVerdict.Refused) decided).reason().text());
        }
    }
}
