package io.yuccaswitch.core.admission;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.limit.FairQueue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The requests that wait for a slot of a pool: by urgency, then those that an endpoint refused, then by fair shares of
 * accounts, then by deadline.
 */
final class AdmissionQueue {

    /** The order of the requests of one account. */
    private static final Comparator<FairQueue.Entry<AdmissionRequest>> BY_DEADLINE =
            Comparator.comparing(entry -> entry.key().times().deadline());

    /** The requests by priority, where 0 is the most urgent. */
    private final TreeMap<Integer, Level> levels = new TreeMap<>();

    /**
     * Adds a request.
     *
     * @param request The request.
     */
    void add(AdmissionRequest request) {
        Level level = levels.computeIfAbsent(request.priority(), _priority -> new Level());
        if (request.stage() == AdmissionRequest.Stage.NEW) {
            level.fair.add(new FairQueue.Entry<>(
                    request, request.account(), request.weight(), PriorityClass.NORMAL, request.bytes()));
        } else {
            level.returned.add(request);
        }
    }

    /**
     * Removes and returns the next request among those that can be served now.
     *
     * @param servable Determines whether a request can be served now.
     * @return The request, or empty if none can be served now.
     */
    Optional<AdmissionRequest> poll(Predicate<AdmissionRequest> servable) {
        for (Level level : levels.values()) {
            Optional<AdmissionRequest> next =
                    level.returned.stream().filter(servable).findFirst();
            if (next.isPresent()) {
                level.returned.remove(next.get());
                return next;
            }
            next = level.fair.poll(entry -> servable.test(entry.key())).map(FairQueue.Entry::key);
            if (next.isPresent()) {
                return next;
            }
        }
        return Optional.empty();
    }

    /**
     * Removes a request.
     *
     * @param request The request.
     * @return {@code true} if it was queued.
     */
    boolean remove(AdmissionRequest request) {
        Level level = levels.get(request.priority());
        return level != null && (level.returned.remove(request) || level.fair.remove(request));
    }

    /**
     * Removes the request that gives way to a new one while the queue is full: the latest one of a lower urgency, or of
     * an account with a longer backlog.
     *
     * @param request The new request, which is queued.
     * @return The removed request, or empty if none gives way.
     */
    Optional<AdmissionRequest> displaceFor(AdmissionRequest request) {
        for (Level lower :
                levels.tailMap(request.priority(), false).descendingMap().values()) {
            Optional<AdmissionRequest> displaced =
                    lower.fair.shedFromBacklogAbove(0).map(FairQueue.Entry::key);
            if (displaced.isPresent()) {
                return displaced;
            }
        }
        Level own = levels.get(request.priority());
        return own.fair.shedFromBacklogAbove(own.backlog(request.account())).map(FairQueue.Entry::key);
    }

    /**
     * Counts the requests that are served before a queued one.
     *
     * @param request The request.
     * @return The number of requests.
     */
    int ahead(AdmissionRequest request) {
        int above = levels.headMap(request.priority()).values().stream()
                .mapToInt(Level::size)
                .sum();
        Level own = levels.get(request.priority());
        return own.returned.contains(request)
                ? above + List.copyOf(own.returned).indexOf(request)
                : above + own.returned.size() + own.fair.aheadOf(request);
    }

    /**
     * Returns whether a request is queued.
     *
     * @param request The request.
     * @return {@code true} if it is.
     */
    boolean contains(AdmissionRequest request) {
        return requests().contains(request);
    }

    /**
     * Returns the queued requests.
     *
     * @return The requests, the most urgent ones first, and of these the ones that an endpoint refused, each in the
     *     order of arrival.
     */
    List<AdmissionRequest> requests() {
        List<AdmissionRequest> requests = new ArrayList<>();
        for (Level level : levels.values()) {
            requests.addAll(level.returned);
            level.fair.entries().forEach(entry -> requests.add(entry.key()));
        }
        return requests;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return The number.
     */
    int size() {
        return levels.values().stream().mapToInt(Level::size).sum();
    }

    /**
     * Returns the number of bytes of the queued requests.
     *
     * @return The number of bytes.
     */
    long bytes() {
        return requests().stream().mapToLong(AdmissionRequest::bytes).sum();
    }

    /** The requests of one priority. */
    private static final class Level {

        /** The requests that an endpoint refused or failed, in the order of their return. */
        private final Set<AdmissionRequest> returned = new LinkedHashSet<>();

        /** The requests without an attempt. */
        private final FairQueue<AdmissionRequest> fair = new FairQueue<>(BY_DEADLINE);

        /**
         * Returns the number of requests.
         *
         * @return The number.
         */
        private int size() {
            return returned.size() + fair.size();
        }

        /**
         * Counts the requests of an account without an attempt.
         *
         * @param account The account.
         * @return The number.
         */
        private int backlog(CallerName account) {
            return (int) fair.entries().stream()
                    .filter(entry -> entry.caller().equals(account))
                    .count();
        }
    }
}
