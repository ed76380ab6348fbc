package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What a node knows of requests under which endpoints ended, at one moment. It never changes, so any thread may read
 * it.
 *
 * @param entries The requests.
 * @param ended The endpoints that have ended lately and that the registry may still name.
 */
public record QuarantineView(Map<RequestFingerprint, Entry> entries, Set<EndpointName> ended) {

    /** Nothing is known. */
    public static final QuarantineView EMPTY = new QuarantineView(Map.of(), Set.of());

    /** Copies the collections. */
    public QuarantineView {
        entries = Map.copyOf(entries);
        ended = Set.copyOf(ended);
    }

    /**
     * Returns whether nothing is known of any request, as on almost all days. No request's fingerprint needs to be
     * computed then.
     *
     * @return {@code true} if there are no entries.
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Returns what is done with a request.
     *
     * @param fingerprint The request.
     * @param now The present in milliseconds since the epoch.
     * @return The verdict.
     */
    public Verdict verdict(RequestFingerprint fingerprint, long now) {
        Entry entry = entries.get(fingerprint);
        return entry == null ? new Verdict.Serve() : entry.verdict(now);
    }

    /**
     * Returns the endpoints that surely ended under a request.
     *
     * @param fingerprint The request.
     * @return The endpoints.
     */
    public Set<EndpointName> endedUnder(RequestFingerprint fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry == null
                ? Set.of()
                : entry.suspect().strikes().stream()
                        .filter(Strike::certain)
                        .map(Strike::endpoint)
                        .collect(Collectors.toSet());
    }

    /**
     * Returns whether an attempt at an endpoint could leave its pool without any, while endpoints that the request
     * ended are not back yet.
     *
     * @param fingerprint The request.
     * @param working The endpoints of the pool that the registry names.
     * @param now The present in milliseconds since the epoch.
     * @return {@code true} if one endpoint at most is left.
     */
    public boolean sparesLast(RequestFingerprint fingerprint, Collection<EndpointName> working, long now) {
        Entry entry = entries.get(fingerprint);
        if (entry == null || now - entry.suspect().lastStrikeAt() > LastEndpoint.RETURN_TIME.toMillis()) {
            return false;
        }
        return LastEndpoint.isLast(working, ended);
    }

    /**
     * Returns the requests that are held.
     *
     * @return The entries, in no order.
     */
    public List<Entry> held() {
        return entries.values().stream().filter(Entry::isHeld).toList();
    }

    /**
     * Finds a request.
     *
     * @param fingerprint The request.
     * @return What is known of it.
     */
    public Optional<Entry> find(RequestFingerprint fingerprint) {
        return Optional.ofNullable(entries.get(fingerprint));
    }

    /**
     * A request under which endpoints ended.
     *
     * @param suspect What is known of it.
     * @param alone Whether it was the only request in flight at one of the endpoints, but for those that were answered.
     */
    public record Entry(Suspect suspect, boolean alone) {

        /**
         * Returns what is done with the request.
         *
         * @param now The present in milliseconds since the epoch.
         * @return The verdict.
         */
        public Verdict verdict(long now) {
            return QuarantinePolicy.judge(suspect, alone, now);
        }

        /**
         * Returns whether the request is held, or was and is now tried.
         *
         * @return {@code true} if it is.
         */
        public boolean isHeld() {
            return QuarantinePolicy.isHeld(suspect, alone);
        }

        /**
         * Returns until when the request is held.
         *
         * @return The time in milliseconds since the epoch.
         */
        public long heldUntil() {
            return QuarantinePolicy.heldUntil(suspect);
        }
    }
}
