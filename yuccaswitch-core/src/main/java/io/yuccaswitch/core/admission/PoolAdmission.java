package io.yuccaswitch.core.admission;

import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.limit.ServiceTimes;
import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.proxy.ReportedLoad;
import io.yuccaswitch.core.proxy.RetryDelay;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Admits plain requests to the slots of one pool. A request that finds no free slot waits for a short time in a queue,
 * if it can be answered within its time; otherwise it is refused at once. Time and randomness are passed in as values.
 */
public final class PoolAdmission {

    /** Chooses endpoints, and counts the requests in flight. */
    private final EndpointSelection selection;

    /** The maximum size of the queue. */
    private final Limits limits;

    /** The free slots. */
    private final PoolOccupancy occupancy;

    /** The waiting requests. */
    private final AdmissionQueue queue = new AdmissionQueue();

    /** The slots that accounts occupy. */
    private final AccountShares shares = new AccountShares();

    /** The times at which refused callers return. */
    private final RetryReservations reservations = new RetryReservations();

    /** The recent times of answers. */
    private ServiceTimes serviceTimes = ServiceTimes.EMPTY;

    /** The number of slots of all available endpoints when waiting requests were last examined. */
    private int capacity;

    /**
     * Creates an admission without requests.
     *
     * @param selection Chooses endpoints, and counts the requests in flight.
     * @param limits The maximum size of the queue.
     */
    public PoolAdmission(EndpointSelection selection, Limits limits) {
        this.selection = selection;
        this.limits = limits;
        occupancy = new PoolOccupancy(selection::running);
    }

    /**
     * Admits, queues or refuses a request.
     *
     * @param request The request.
     * @param situation The state of the pool.
     * @return The decisions on this and on waiting requests. If there is none on this request, it waits.
     */
    public List<AdmissionVerdict> arrive(AdmissionRequest request, PoolSituation situation) {
        queue.add(request);
        List<AdmissionVerdict> verdicts = advance(situation);
        if (!queue.contains(request)) {
            return verdicts;
        }
        if (isTooLate(request, situation)) {
            verdicts.add(refuse(request, AdmissionVerdict.Reason.TOO_LATE, situation));
            return verdicts;
        }
        while (queue.size() > limits.requests() || queue.bytes() > limits.bytes()) {
            Optional<AdmissionRequest> displaced =
                    request.bytes() > limits.bytes() ? Optional.empty() : queue.displaceFor(request);
            if (displaced.isEmpty()) {
                verdicts.add(refuse(request, AdmissionVerdict.Reason.QUEUE_FULL, situation));
                return verdicts;
            }
            verdicts.add(new AdmissionVerdict.Refused(
                    displaced.get(), AdmissionVerdict.Reason.DISPLACED, inputs(displaced.get(), 0, situation)));
        }
        return verdicts;
    }

    /**
     * Assigns free slots to waiting requests, and refuses those that can't be served in their time any more.
     *
     * @param situation The state of the pool.
     * @return The decisions.
     */
    public List<AdmissionVerdict> advance(PoolSituation situation) {
        List<AdmissionVerdict> verdicts = new ArrayList<>();
        if (queue.size() == 0) {
            return verdicts;
        }
        dispatch(situation, verdicts);
        int before = capacity;
        capacity = available(situation).stream()
                .mapToInt(endpoint -> Math.max(1, endpoint.slots()))
                .sum();
        List<AdmissionRequest> waiting = new ArrayList<>(queue.requests());
        if (capacity < before) {
            waiting.sort(Comparator.comparingInt(queue::ahead));
        }
        for (AdmissionRequest request : waiting) {
            if (situation.working().isEmpty()) {
                verdicts.add(refuse(request, AdmissionVerdict.Reason.NO_ENDPOINT, situation));
            } else if (!isPositive(request.maximumWait(serviceTimes.estimateServiceTime(), situation.now()))) {
                verdicts.add(refuse(request, reasonOfExpiry(request, situation), situation));
            } else if (capacity < before && isTooLate(request, situation)) {
                verdicts.add(refuse(request, AdmissionVerdict.Reason.TOO_LATE, situation));
            }
        }
        return verdicts;
    }

    /**
     * Removes a request whose caller disconnected.
     *
     * @param request The request.
     * @return {@code true} if it was waiting.
     */
    public boolean withdraw(AdmissionRequest request) {
        return queue.remove(request);
    }

    /**
     * Records that a request freed its slot, after the selection has recorded it.
     *
     * @param account The account of the request.
     */
    public void end(CallerName account) {
        shares.end(account);
    }

    /**
     * Records a complete answer.
     *
     * @param endpoint The endpoint.
     * @param duration The time for which the request occupied a slot.
     */
    public void recordAnswer(RegisteredEndpoint endpoint, Duration duration) {
        occupancy.recordTaken(endpoint);
        serviceTimes = serviceTimes.after(duration, 0);
    }

    /**
     * Records that an endpoint refused a request without running it.
     *
     * @param endpoint The endpoint.
     * @param situation The state of the pool.
     */
    public void recordRefusal(RegisteredEndpoint endpoint, PoolSituation situation) {
        occupancy.recordRefusal(endpoint, serviceTimes.estimateServiceTime(), situation.now());
    }

    /**
     * Records the load that an endpoint reported with the start of an answer, whose request is still in flight.
     *
     * @param endpoint The endpoint.
     * @param load The load.
     * @param situation The state of the pool.
     */
    public void recordLoad(RegisteredEndpoint endpoint, ReportedLoad load, PoolSituation situation) {
        occupancy.recordLoad(endpoint, load, selection.running(endpoint), situation.now());
        selection.recordSlowness(endpoint, load.slowness(), situation.now());
    }

    /**
     * Returns how long a waiting request sleeps at most before the queue is examined again.
     *
     * @param request The request.
     * @param situation The state of the pool.
     * @return The time until its maximum wait ends or the free slots change by the passing of time.
     */
    public Duration untilNextChange(AdmissionRequest request, PoolSituation situation) {
        Duration slotTime = serviceTimes.estimateServiceTime();
        Duration limit = request.maximumWait(slotTime, situation.now());
        return occupancy
                .untilNextChange(situation, slotTime)
                .filter(change -> change.compareTo(limit) < 0)
                .orElse(limit);
    }

    /**
     * Assigns the time at which a refused caller returns.
     *
     * @param caller The caller.
     * @param remaining The remaining time of the caller.
     * @param situation The state of the pool.
     * @param drawn A random number, uniformly distributed from 0 (inclusive) to 1 (exclusive).
     * @return The delay until then.
     */
    public Duration retryDelay(
            RetryReservations.Caller caller, Duration remaining, PoolSituation situation, double drawn) {
        return reservations.reserve(caller, capacity(situation), remaining, situation.now(), drawn);
    }

    /**
     * Removes the state of endpoints that no longer exist.
     *
     * @param situation The state of the pool.
     */
    public void retain(PoolSituation situation) {
        occupancy.retain(situation.working());
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return The number.
     */
    public int waiting() {
        return queue.size();
    }

    /**
     * Assigns free slots to waiting requests. Accounts that hold their fair share of the slots come last, also behind
     * less urgent requests, and get a slot only if no other request can use it.
     *
     * @param situation The state of the pool.
     * @param verdicts Receives the decisions.
     */
    private void dispatch(PoolSituation situation, List<AdmissionVerdict> verdicts) {
        List<RegisteredEndpoint> available = available(situation);
        Duration slotTime = serviceTimes.estimateServiceTime();
        while (queue.size() > 0) {
            List<RegisteredEndpoint> free = available.stream()
                    .filter(endpoint -> occupancy.freeSlots(endpoint, situation, slotTime) > 0)
                    .toList();
            if (free.isEmpty()) {
                return;
            }
            Map<CallerName, Integer> fair =
                    shares.fairShares(occupancy.usableSlots(available, situation, slotTime), queue.requests());
            Optional<AdmissionRequest> next =
                    queue.poll(request -> shares.inFlight(request.account()) < fair.get(request.account()));
            AdmissionRequest request =
                    next.or(() -> queue.poll(_request -> true)).orElseThrow();
            RegisteredEndpoint endpoint =
                    selection.choose(free, request.avoided(), situation.now()).orElseThrow();
            selection.begin(endpoint);
            shares.begin(request);
            verdicts.add(new AdmissionVerdict.Granted(request, endpoint, inputs(request, 0, situation)));
        }
    }

    /**
     * Returns the endpoints that requests are sent to.
     *
     * @param situation The state of the pool.
     * @return The working endpoints without those that failed recently, or all if there is no other.
     */
    private List<RegisteredEndpoint> available(PoolSituation situation) {
        List<RegisteredEndpoint> healthy = situation.working().stream()
                .filter(endpoint -> !selection.isPaused(endpoint, situation.now()))
                .toList();
        return healthy.isEmpty() ? situation.working() : healthy;
    }

    /**
     * Returns whether a waiting request is expected to get a slot too late.
     *
     * @param request The request.
     * @param situation The state of the pool.
     * @return {@code true} if it can't be served in its time.
     */
    private boolean isTooLate(AdmissionRequest request, PoolSituation situation) {
        Duration slotTime = serviceTimes.estimateServiceTime();
        int slots = occupancy.usableSlots(available(situation), situation, slotTime);
        Duration wait = serviceTimes.estimateQueueingTime(queue.ahead(request) + 1, slots);
        return wait.compareTo(request.maximumWait(slotTime, situation.now())) > 0;
    }

    /**
     * Returns why a request is refused whose maximum wait has ended.
     *
     * @param request The request.
     * @param situation The state of the pool.
     * @return The reason.
     */
    private static AdmissionVerdict.Reason reasonOfExpiry(AdmissionRequest request, PoolSituation situation) {
        return isPositive(situation.now().since(request.times().queuedAt()))
                ? AdmissionVerdict.Reason.NO_SLOT
                : AdmissionVerdict.Reason.TOO_LATE;
    }

    /**
     * Removes a request from the queue and refuses it.
     *
     * @param request The request.
     * @param reason The reason.
     * @param situation The state of the pool.
     * @return The decision.
     */
    private AdmissionVerdict refuse(AdmissionRequest request, AdmissionVerdict.Reason reason, PoolSituation situation) {
        AdmissionVerdict.Inputs inputs = inputs(request, queue.ahead(request), situation);
        queue.remove(request);
        return new AdmissionVerdict.Refused(request, reason, inputs);
    }

    /**
     * Returns the inputs of a decision, for logs.
     *
     * @param request The request.
     * @param ahead The number of requests that are served before it.
     * @param situation The state of the pool.
     * @return The inputs.
     */
    private AdmissionVerdict.Inputs inputs(AdmissionRequest request, int ahead, PoolSituation situation) {
        Duration slotTime = serviceTimes.estimateServiceTime();
        return new AdmissionVerdict.Inputs(
                situation.now().since(request.times().queuedAt()),
                ahead,
                queue.size(),
                occupancy.usableSlots(available(situation), situation, slotTime),
                slotTime,
                (int) situation.working().stream()
                        .filter(endpoint -> occupancy.hasReport(endpoint, situation.now()))
                        .count(),
                situation.working().size());
    }

    /**
     * Estimates when slots become free for callers of this node. The first refused caller may return as soon as any
     * slot of the pool is expected to be free, because other nodes may have no refused callers. Between two of its
     * callers the node leaves the time in which its part of all slots frees one: its equal part, or what it occupies if
     * that is more.
     *
     * @param situation The state of the pool.
     * @return The capacity for returning callers.
     */
    private RetryReservations.Capacity capacity(PoolSituation situation) {
        List<RegisteredEndpoint> available = available(situation);
        int total = available.stream()
                .mapToInt(endpoint -> Math.max(1, endpoint.slots()))
                .sum();
        int own = available.stream().mapToInt(selection::running).sum();
        double slots = Math.max(own, (double) Math.max(1, total) / situation.nodes());
        Duration measured = serviceTimes.estimateServiceTime();
        Duration slotTime = measured.isZero() ? RetryDelay.MINIMUM_DELAY : measured;
        Duration untilFree = slotTime.multipliedBy(queue.size() + 1L).dividedBy(Math.max(1, total));
        Duration interval = Duration.ofNanos(Math.max(1, (long) (slotTime.toNanos() / slots)));
        return new RetryReservations.Capacity(untilFree, interval);
    }

    /**
     * Returns whether a duration is longer than zero.
     *
     * @param duration The duration.
     * @return {@code true} if it is.
     */
    private static boolean isPositive(Duration duration) {
        return !duration.isNegative() && !duration.isZero();
    }

    /**
     * The maximum size of a queue.
     *
     * @param requests The maximum number of requests.
     * @param bytes The maximum number of bytes of all requests.
     */
    public record Limits(int requests, long bytes) {

        /**
         * The default: more requests could not be served within a quarter of any latency target, and 8 MB is some 2% of
         * the memory of a small VM.
         */
        public static final Limits DEFAULT = new Limits(256, 8L << 20);
    }
}
