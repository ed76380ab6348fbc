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

/** What the systems of the quarantine share. */
final class QuarantineState {

    /**
     * The largest number of requests that are remembered. A caller adds one only by ending endpoints, and those that
     * ended most endpoints stay.
     */
    static final int MAXIMUM_SUSPECTS = 512;

    /** The largest number of ended endpoints that are remembered. */
    private static final int MAXIMUM_ENDED = 1024;

    /** How long an ended endpoint is avoided: until the registry drops it, which takes three of its heartbeats. */
    private static final Duration ENDED_TIME = Duration.ofSeconds(4);

    /** Tells the time of day in milliseconds since the epoch. */
    private final LongSupplier timeOfDay;

    /** The requests. */
    private final EntityTable<RequestFingerprint, Suspect> suspects = new EntityTable<>();

    /** The endpoints that have ended lately, with when that became known. */
    private final Map<EndpointName, MonotonicTime> ended = new LinkedHashMap<>();

    /** The requests whose news the other nodes have not heard. */
    private final Set<RequestFingerprint> untold = new LinkedHashSet<>();

    /** The endpoints whose end the other nodes have not heard of. */
    private final Set<EndpointName> untoldEnds = new LinkedHashSet<>();

    /** The requests of which others may have heard, such that their clearance has to be told too. */
    private final Set<RequestFingerprint> told = new HashSet<>();

    /** The requests of which this node found something out itself, which it brings to the platform. */
    private final Set<RequestFingerprint> own = new HashSet<>();

    /** The requests whose news the platform does not hold. */
    private final Set<RequestFingerprint> unstored = new LinkedHashSet<>();

    /** Whether anything changed since the view was made. */
    private boolean changed;

    /** What is known, as the shell sees it. */
    private QuarantineView view = QuarantineView.EMPTY;

    /**
     * Creates a state without requests.
     *
     * @param timeOfDay Tells the time of day in milliseconds since the epoch.
     */
    QuarantineState(LongSupplier timeOfDay) {
        this.timeOfDay = timeOfDay;
    }

    /**
     * Returns the time of day, which all nodes share but for a small difference.
     *
     * @return The time in milliseconds since the epoch.
     */
    long epochMillis() {
        return timeOfDay.getAsLong();
    }

    /**
     * Returns the requests.
     *
     * @return The table.
     */
    EntityTable<RequestFingerprint, Suspect> suspects() {
        return suspects;
    }

    /**
     * Returns the requests whose news the other nodes have not heard.
     *
     * @return The requests, in a set that may be changed.
     */
    Set<RequestFingerprint> untold() {
        return untold;
    }

    /**
     * Returns the endpoints whose end the other nodes have not heard of.
     *
     * @return The endpoints, in a set that may be changed.
     */
    Set<EndpointName> untoldEnds() {
        return untoldEnds;
    }

    /**
     * Returns whether there is something that the other nodes have not heard.
     *
     * @return {@code true} if there is.
     */
    boolean hasNews() {
        return !untold.isEmpty() || !untoldEnds.isEmpty();
    }

    /**
     * Returns the requests whose news the platform does not hold.
     *
     * @return The requests, in a set that may be changed.
     */
    Set<RequestFingerprint> unstored() {
        return unstored;
    }

    /**
     * Notes that others may have heard of a request.
     *
     * @param fingerprint The request.
     */
    void noteTold(RequestFingerprint fingerprint) {
        told.add(fingerprint);
    }

    /**
     * Takes what this node found out about a request.
     *
     * @param suspect The request.
     */
    void learn(Suspect suspect) {
        put(suspect);
        untold.add(suspect.fingerprint());
        own.add(suspect.fingerprint());
        unstored.add(suspect.fingerprint());
    }

    /**
     * Takes what another node, or the platform, knows of a request.
     *
     * @param suspect The request.
     */
    void hear(Suspect suspect) {
        told.add(suspect.fingerprint());
        Suspect merged = suspects.find(suspect.fingerprint())
                .map(known -> known.merge(suspect))
                .orElse(suspect);
        boolean isNews =
                suspects.find(suspect.fingerprint()).filter(merged::equals).isEmpty();
        if (isNews && !QuarantinePolicy.isForgotten(merged, epochMillis())) {
            put(merged);
            if (own.contains(merged.fingerprint())) {
                unstored.add(merged.fingerprint());
            }
        }
    }

    /**
     * Clears a request, as an endpoint answered it or an operator lets it go.
     *
     * @param tick The tick.
     * @param fingerprint The request.
     * @param reason Why, for logs.
     */
    void clear(Tick tick, RequestFingerprint fingerprint, String reason) {
        Optional<Suspect> known = suspects.find(fingerprint);
        if (known.isEmpty() || known.get().strikes().isEmpty()) {
            return;
        }
        tick.decide(Decision.of("quarantine", fingerprint.toString(), "cleared", reason));
        if (told.contains(fingerprint)) {
            learn(known.get().withClearance(epochMillis()));
        } else {
            forget(fingerprint);
        }
    }

    /**
     * Forgets a request.
     *
     * @param fingerprint The request.
     */
    void forget(RequestFingerprint fingerprint) {
        suspects.remove(fingerprint);
        told.remove(fingerprint);
        untold.remove(fingerprint);
        own.remove(fingerprint);
        unstored.remove(fingerprint);
        changed = true;
    }

    /**
     * Replaces what is known of a request.
     *
     * @param suspect The request.
     */
    void put(Suspect suspect) {
        suspects.put(suspect.fingerprint(), suspect);
        changed = true;
        if (suspects.size() > MAXIMUM_SUSPECTS) {
            suspects.rows().stream()
                    .min(Comparator.comparingInt(Suspect::count).thenComparingLong(Suspect::changedAt))
                    .ifPresent(least -> forget(least.fingerprint()));
        }
    }

    /**
     * Takes that an endpoint has ended.
     *
     * @param endpoint The endpoint.
     * @param now The present.
     * @return Whether that was not known.
     */
    boolean noteEnded(EndpointName endpoint, MonotonicTime now) {
        if (ended.containsKey(endpoint) || ended.size() >= MAXIMUM_ENDED) {
            return false;
        }
        ended.put(endpoint, now);
        changed = true;
        return true;
    }

    /**
     * Returns whether an endpoint has ended lately.
     *
     * @param endpoint The endpoint.
     * @return {@code true} if it has.
     */
    boolean isEnded(EndpointName endpoint) {
        return ended.containsKey(endpoint);
    }

    /**
     * Forgets endpoints that ended some time ago.
     *
     * @param now The present.
     */
    void forgetEnded(MonotonicTime now) {
        changed |= ended.values().removeIf(at -> now.since(at).compareTo(ENDED_TIME) > 0);
    }

    /**
     * Returns what is known.
     *
     * @return The view as of the last tick.
     */
    QuarantineView view() {
        return view;
    }

    /**
     * Makes a new view and hands it to the shell, if anything has changed.
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
            boolean known = before.find(entry.suspect().fingerprint())
                    .filter(earlier -> earlier.isHeld()
                            && earlier.suspect().count() == entry.suspect().count())
                    .isPresent();
            if (!known) {
                explain(tick, entry);
            }
        }
    }

    /**
     * Returns the requests with the judgement of how much the endpoints that ended tell of each.
     *
     * @return The entries.
     */
    private Map<RequestFingerprint, QuarantineView.Entry> entries() {
        Map<EndpointName, Integer> requests = new HashMap<>();
        for (Suspect suspect : suspects.view()) {
            suspect.strikes().stream()
                    .filter(Strike::certain)
                    .forEach(strike -> requests.merge(strike.endpoint(), 1, Integer::sum));
        }
        Map<RequestFingerprint, QuarantineView.Entry> entries = new HashMap<>();
        for (Suspect suspect : suspects.view()) {
            if (!suspect.strikes().isEmpty()) {
                boolean alone = suspect.strikes().stream()
                        .anyMatch(strike -> strike.certain() && requests.get(strike.endpoint()) == 1);
                entries.put(suspect.fingerprint(), new QuarantineView.Entry(suspect, alone));
            }
        }
        return entries;
    }

    /**
     * Explains that a request is held.
     *
     * @param tick The tick.
     * @param entry The request.
     */
    private static void explain(Tick tick, QuarantineView.Entry entry) {
        Suspect suspect = entry.suspect();
        tick.decide(Decision.of(
                "quarantine",
                suspect.fingerprint().toString(),
                "held",
                suspect.description() + ", endpoints ended " + suspect.count() + ", since "
                        + suspect.strikes().get(0).at() + ", until " + entry.heldUntil()
                        + (entry.alone() ? "" : ", others were at all of them")));
    }
}
