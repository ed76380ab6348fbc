package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/** The state that the systems of the quarantine share. */
final class QuarantineState {

    /**
     * The maximum number of recorded requests. A caller adds a request only by making endpoints terminate. When the
     * table is full, the requests with the most terminations are kept.
     */
    static final int MAXIMUM_SUSPECTS = 512;

    /** The maximum number of recorded terminated endpoints. */
    private static final int MAXIMUM_ENDED = 1024;

    /**
     * How long a terminated endpoint is avoided. By then the registry has dropped it, which takes three of its
     * heartbeats.
     */
    private static final Duration ENDED_RETENTION = Duration.ofSeconds(4);

    /** Supplies the time of day in milliseconds since the epoch. */
    private final LongSupplier timeOfDay;

    /** The suspect requests. */
    private final EntityTable<RequestFingerprint, Suspect> suspects = new EntityTable<>();

    /** The endpoints that have terminated recently, each with the time when this node recorded it. */
    private final Map<EndpointName, MonotonicTime> ended = new LinkedHashMap<>();

    /** The requests whose changes have not been announced to the other nodes. */
    private final Set<RequestFingerprint> unannounced = new LinkedHashSet<>();

    /** The endpoints whose termination has not been announced to the other nodes. */
    private final Set<EndpointName> unannouncedEnds = new LinkedHashSet<>();

    /** The requests that other nodes may have recorded, so that their clearance is announced, too. */
    private final Set<RequestFingerprint> announced = new HashSet<>();

    /** The requests with evidence observed at this node, which this node stores on the platform. */
    private final Set<RequestFingerprint> locallyObserved = new HashSet<>();

    /** The requests whose changes are not stored on the platform yet. */
    private final Set<RequestFingerprint> unstored = new LinkedHashSet<>();

    /** Whether the state has changed since the view was built. */
    private boolean changed;

    /** The state as published to the shell. */
    private QuarantineView view = QuarantineView.EMPTY;

    /**
     * Creates an empty state.
     *
     * @param timeOfDay Supplies the time of day in milliseconds since the epoch.
     */
    QuarantineState(LongSupplier timeOfDay) {
        this.timeOfDay = timeOfDay;
    }

    /**
     * Returns the time of day, on which all nodes agree except for a small difference.
     *
     * @return The time in milliseconds since the epoch.
     */
    long epochMillis() {
        return timeOfDay.getAsLong();
    }

    /**
     * Returns the suspect requests.
     *
     * @return The table.
     */
    EntityTable<RequestFingerprint, Suspect> suspects() {
        return suspects;
    }

    /**
     * Returns the requests whose changes have not been announced to the other nodes.
     *
     * @return The requests, as a modifiable set.
     */
    Set<RequestFingerprint> unannounced() {
        return unannounced;
    }

    /**
     * Returns the endpoints whose termination has not been announced to the other nodes.
     *
     * @return The endpoints, as a modifiable set.
     */
    Set<EndpointName> unannouncedEnds() {
        return unannouncedEnds;
    }

    /**
     * Returns whether any change has not been announced to the other nodes.
     *
     * @return {@code true} if there are unannounced changes.
     */
    boolean hasUnannouncedChanges() {
        return !unannounced.isEmpty() || !unannouncedEnds.isEmpty();
    }

    /**
     * Returns the requests whose changes are not stored on the platform yet.
     *
     * @return The requests, as a modifiable set.
     */
    Set<RequestFingerprint> unstored() {
        return unstored;
    }

    /**
     * Marks a request as possibly recorded at other nodes.
     *
     * @param fingerprint The request.
     */
    void markAnnounced(RequestFingerprint fingerprint) {
        announced.add(fingerprint);
    }

    /**
     * Records a change of a request that this node observed itself.
     *
     * @param suspect The request.
     */
    void recordLocal(Suspect suspect) {
        put(suspect);
        unannounced.add(suspect.fingerprint());
        locallyObserved.add(suspect.fingerprint());
        unstored.add(suspect.fingerprint());
    }

    /**
     * Merges the state of a request that was received from another node or read from the platform.
     *
     * @param suspect The request.
     */
    void mergeRemote(Suspect suspect) {
        announced.add(suspect.fingerprint());
        Suspect merged = suspects.find(suspect.fingerprint())
                .map(recorded -> recorded.merge(suspect))
                .orElse(suspect);
        boolean isChange =
                suspects.find(suspect.fingerprint()).filter(merged::equals).isEmpty();
        if (isChange && !QuarantinePolicy.isExpired(merged, epochMillis())) {
            put(merged);
            if (locallyObserved.contains(merged.fingerprint())) {
                unstored.add(merged.fingerprint());
            }
        }
    }

    /**
     * Clears a request, because an endpoint answered it or an operator released it.
     *
     * @param tick The tick.
     * @param fingerprint The request.
     * @param reason The reason, for logs.
     */
    void clear(Tick tick, RequestFingerprint fingerprint, String reason) {
        Optional<Suspect> recorded = suspects.find(fingerprint);
        if (recorded.isEmpty() || recorded.get().crashEvidence().isEmpty()) {
            return;
        }
        tick.decide(Decision.of("quarantine", fingerprint.toString(), "cleared", reason));
        if (announced.contains(fingerprint)) {
            recordLocal(recorded.get().withClearance(epochMillis()));
        } else {
            remove(fingerprint);
        }
    }

    /**
     * Removes a request.
     *
     * @param fingerprint The request.
     */
    void remove(RequestFingerprint fingerprint) {
        suspects.remove(fingerprint);
        announced.remove(fingerprint);
        unannounced.remove(fingerprint);
        locallyObserved.remove(fingerprint);
        unstored.remove(fingerprint);
        changed = true;
    }

    /**
     * Replaces the state of a request, and removes the least relevant request if the table is full.
     *
     * @param suspect The request.
     */
    void put(Suspect suspect) {
        suspects.put(suspect.fingerprint(), suspect);
        changed = true;
        if (suspects.size() > MAXIMUM_SUSPECTS) {
            suspects.rows().stream()
                    .min(Comparator.comparingInt(Suspect::count).thenComparingLong(Suspect::changedAt))
                    .ifPresent(least -> remove(least.fingerprint()));
        }
    }

    /**
     * Records that an endpoint has terminated.
     *
     * @param endpoint The endpoint.
     * @param now The current time.
     * @return Whether this was not recorded before.
     */
    boolean recordEnded(EndpointName endpoint, MonotonicTime now) {
        if (ended.containsKey(endpoint) || ended.size() >= MAXIMUM_ENDED) {
            return false;
        }
        ended.put(endpoint, now);
        changed = true;
        return true;
    }

    /**
     * Returns whether an endpoint has terminated recently.
     *
     * @param endpoint The endpoint.
     * @return {@code true} if it has.
     */
    boolean isEnded(EndpointName endpoint) {
        return ended.containsKey(endpoint);
    }

    /**
     * Evicts endpoints whose termination is older than the retention period.
     *
     * @param now The current time.
     */
    void evictEnded(MonotonicTime now) {
        changed |= ended.values().removeIf(at -> now.since(at).compareTo(ENDED_RETENTION) > 0);
    }

    /**
     * Returns the published state.
     *
     * @return The view as of the last tick.
     */
    QuarantineView view() {
        return view;
    }

    /**
     * Publishes a new view to the shell if the state has changed.
     *
     * @param tick The tick.
     */
    void publish(Tick tick) {
        if (!changed) {
            return;
        }
        changed = false;
        QuarantineView before = view;
        view = new QuarantineView(entries(), ended.keySet());
        tick.emit(new QuarantineEffect.Changed(view));
        for (QuarantineView.Entry entry : view.held()) {
            boolean recorded = before.find(entry.suspect().fingerprint())
                    .filter(earlier -> earlier.isHeld()
                            && earlier.suspect().count() == entry.suspect().count())
                    .isPresent();
            if (!recorded) {
                recordDecision(tick, entry);
            }
        }
    }

    /**
     * Builds the entries of the view, and determines for each request whether it was the only suspect one at an
     * endpoint.
     *
     * @return The entries.
     */
    private Map<RequestFingerprint, QuarantineView.Entry> entries() {
        Map<EndpointName, Integer> requests = new HashMap<>();
        for (Suspect suspect : suspects.view()) {
            suspect.crashEvidence().stream()
                    .filter(CrashEvidence::certain)
                    .forEach(evidence -> requests.merge(evidence.endpoint(), 1, Integer::sum));
        }
        Map<RequestFingerprint, QuarantineView.Entry> entries = new HashMap<>();
        for (Suspect suspect : suspects.view()) {
            if (!suspect.crashEvidence().isEmpty()) {
                boolean soleRequest = suspect.crashEvidence().stream()
                        .anyMatch(evidence -> evidence.certain() && requests.get(evidence.endpoint()) == 1);
                entries.put(suspect.fingerprint(), new QuarantineView.Entry(suspect, soleRequest));
            }
        }
        return entries;
    }

    /**
     * Logs that a request is held.
     *
     * @param tick The tick.
     * @param entry The request.
     */
    private static void recordDecision(Tick tick, QuarantineView.Entry entry) {
        Suspect suspect = entry.suspect();
        tick.decide(Decision.of(
                "quarantine",
                suspect.fingerprint().toString(),
                "held",
                suspect.description() + ", endpoints ended " + suspect.count() + ", since "
                        + suspect.crashEvidence().get(0).at() + ", until " + entry.heldUntil()
                        + (entry.soleRequest() ? "" : ", other suspect requests were in flight at all of them")));
    }
}
