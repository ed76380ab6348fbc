package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An immutable snapshot of a node's suspect requests and terminated endpoints, which any thread may read.
 *
 * @param entries The suspect requests.
 * @param ended The endpoints that have terminated recently and that the registry may still list.
 */
public record QuarantineView(Map<RequestFingerprint, Entry> entries, Set<EndpointName> ended) {

    /** A view without suspect requests and terminated endpoints. */
    public static final QuarantineView EMPTY = new QuarantineView(Map.of(), Set.of());

    /** Copies the collections. */
    public QuarantineView {
        entries = Map.copyOf(entries);
        ended = Set.copyOf(ended);
    }

    /**
     * Returns whether no request is suspect, which is the normal case. Fingerprints need not be computed then.
     *
     * @return {@code true} if there are no entries.
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Returns the verdict on a request.
     *
     * @param fingerprint The request.
     * @param now The current time in milliseconds since the epoch.
     * @return The verdict.
     */
    public Verdict verdict(RequestFingerprint fingerprint, long now) {
        Entry entry = entries.get(fingerprint);
        return entry == null ? new Verdict.Serve() : entry.verdict(now);
    }

    /**
     * Returns the endpoints that are known to have terminated while they processed a request.
     *
     * @param fingerprint The request.
     * @return The endpoints.
     */
    public Set<EndpointName> endpointsEndedBy(RequestFingerprint fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry == null
                ? Set.of()
                : entry.suspect().crashEvidence().stream()
                        .filter(CrashEvidence::certain)
                        .map(CrashEvidence::endpoint)
                        .collect(Collectors.toSet());
    }

    /**
     * Returns whether an attempt could leave a pool without endpoints, while endpoints that terminated when they
     * processed the request have not restarted yet.
     *
     * @param fingerprint The request.
     * @param working The endpoints of the pool that the registry lists.
     * @param now The current time in milliseconds since the epoch.
     * @return {@code true} if at most one endpoint is left.
     */
    public boolean protectsLastEndpoint(RequestFingerprint fingerprint, Collection<EndpointName> working, long now) {
        Entry entry = entries.get(fingerprint);
        if (entry == null || now - entry.suspect().lastCrashAt() > LastEndpoint.RESTART_DURATION.toMillis()) {
            return false;
        }
        return LastEndpoint.isLast(working, ended);
    }

    /**
     * Returns the requests that are held.
     *
     * @return The entries, in no particular order.
     */
    public List<Entry> held() {
        return entries.values().stream().filter(Entry::isHeld).toList();
    }

    /**
     * Finds a request.
     *
     * @param fingerprint The request.
     * @return Its entry, or empty if it is not suspect.
     */
    public Optional<Entry> find(RequestFingerprint fingerprint) {
        return Optional.ofNullable(entries.get(fingerprint));
    }

    /**
     * A request that endpoints were processing when they terminated.
     *
     * @param suspect The state of the request.
     * @param soleRequest Whether it was the only unanswered request in flight at one of the endpoints.
     */
    public record Entry(Suspect suspect, boolean soleRequest) {

        /**
         * Returns the verdict on the request.
         *
         * @param now The current time in milliseconds since the epoch.
         * @return The verdict.
         */
        public Verdict verdict(long now) {
            return QuarantinePolicy.judge(suspect, soleRequest, now);
        }

        /**
         * Returns whether the request is held, or is on trial after its hold time elapsed.
         *
         * @return {@code true} if it is.
         */
        public boolean isHeld() {
            return QuarantinePolicy.isHeld(suspect, soleRequest);
        }

        /**
         * Returns the end of the hold time.
         *
         * @return The time in milliseconds since the epoch.
         */
        public long heldUntil() {
            return QuarantinePolicy.heldUntil(suspect);
        }
    }
}
