package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.CallBackoff;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformCalls;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Stores requests with several terminated endpoints on the platform, in one object, so that they outlast a simultaneous
 * termination of all nodes. The object is read once when a node starts, and written by the node that observed a change.
 */
final class StoreSystem implements DecisionSystem {

    /** The key of the object. */
    static final ObjectKey KEY = new ObjectKey("quarantine", "requests");

    /**
     * The number of terminated endpoints from which a request is stored. Almost all requests with only one are served
     * again.
     */
    private static final int STORE_THRESHOLD = 2;

    /** The maximum number of stored requests, which stays far below the maximum size of an object. */
    private static final int MAXIMUM_STORED = 128;

    /** The initial delay after a failed call. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(200);

    /** The maximum delay after failed calls. */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(2);

    /** The minimum time between two writes, which batches the results of several attempts. */
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(200);

    /** The state that the systems of the quarantine share. */
    private final QuarantineState state;

    /** The calls whose answers are pending. */
    private final PlatformCalls calls;

    /** The backoff that determines when the next call may be made. */
    private final CallBackoff backoff = new CallBackoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF);

    /** Whether the object has been read. */
    private boolean read;

    /** Whether the answer to a call is pending. */
    private boolean callPending;

    /** The version of the object, or empty if there is none. */
    private OptionalLong version = OptionalLong.empty();

    /** The requests in the object, as of its last read or write by this node. */
    private Map<RequestFingerprint, Suspect> stored = Map.of();

    /**
     * Creates a system that has not read the object.
     *
     * @param state The state that the systems of the quarantine share.
     * @param tokens Allocates the tokens of platform calls.
     */
    StoreSystem(QuarantineState state, PlatformTokens tokens) {
        this.state = state;
        calls = new PlatformCalls(tokens);
    }

    @Override
    public void run(Tick tick) {
        calls.processAnswers(tick);
        if (callPending || !backoff.allows(tick.now())) {
            return;
        }
        if (!read) {
            read(tick);
        } else if (!state.unstored().isEmpty()) {
            write(tick);
        }
    }

    /**
     * Reads the object.
     *
     * @param tick The tick.
     */
    private void read(Tick tick) {
        callPending = true;
        calls.call(
                tick, token -> new PlatformEffect.Read(token, PlatformPurpose.QUARANTINE, KEY), (answerTick, event) -> {
                    callPending = false;
                    if (event instanceof PlatformEvent.ObjectRead answer) {
                        read = true;
                        backoff.succeeded(answerTick.now(), Duration.ZERO);
                        apply(answer.object());
                    } else {
                        backoff.failed(answerTick);
                    }
                });
    }

    /**
     * Writes the changes that this node observed, if the object lacks them.
     *
     * @param tick The tick.
     */
    private void write(Tick tick) {
        Set<RequestFingerprint> written = Set.copyOf(state.unstored());
        Map<RequestFingerprint, Suspect> desired = desired(written);
        if (desired.equals(stored)) {
            state.unstored().removeAll(written);
            return;
        }
        callPending = true;
        calls.call(
                tick,
                token -> new PlatformEffect.Write(
                        token, PlatformPurpose.QUARANTINE, KEY, version, SuspectCodec.encode(desired.values())),
                (answerTick, event) -> {
                    callPending = false;
                    if (event instanceof PlatformEvent.Accepted accepted) {
                        version = OptionalLong.of(accepted.version());
                        stored = desired;
                        state.unstored()
                                .removeIf(fingerprint -> written.contains(fingerprint) && isStored(fingerprint));
                        backoff.succeeded(answerTick.now(), WRITE_INTERVAL);
                        recordDecision(answerTick, desired.size());
                    } else if (event instanceof PlatformEvent.Conflict conflict) {
                        backoff.failed(answerTick);
                        apply(conflict.current());
                    } else {
                        backoff.failed(answerTick);
                    }
                });
    }

    /**
     * Returns whether the object contains the current state of a request, or need not contain it.
     *
     * @param fingerprint The request.
     * @return {@code true} unless the request has changed since the write.
     */
    private boolean isStored(RequestFingerprint fingerprint) {
        Optional<Suspect> recorded = state.suspects().find(fingerprint);
        return recorded.isEmpty() || recorded.get().equals(stored.get(fingerprint)) || !shouldStore(recorded.get());
    }

    /**
     * Returns the requests that the object should contain.
     *
     * @param changed The requests with changes observed at this node.
     * @return The current content of the object, merged with those requests.
     */
    private Map<RequestFingerprint, Suspect> desired(Set<RequestFingerprint> changed) {
        Map<RequestFingerprint, Suspect> desired = new LinkedHashMap<>(stored);
        for (RequestFingerprint fingerprint : changed) {
            Optional<Suspect> recorded = state.suspects().find(fingerprint);
            if (recorded.isPresent() && (shouldStore(recorded.get()) || desired.containsKey(fingerprint))) {
                desired.merge(fingerprint, recorded.get(), Suspect::merge);
            }
        }
        long now = state.epochMillis();
        desired.values().removeIf(suspect -> QuarantinePolicy.isExpired(suspect, now));
        while (desired.size() > MAXIMUM_STORED) {
            desired.remove(desired.keySet().iterator().next());
        }
        return desired;
    }

    /**
     * Returns whether a request is to be stored on the platform.
     *
     * @param suspect The request.
     * @return {@code true} if enough endpoints terminated while they processed it.
     */
    private static boolean shouldStore(Suspect suspect) {
        return suspect.count() >= STORE_THRESHOLD;
    }

    /**
     * Applies the content of the object.
     *
     * @param object The object, or empty if there is none.
     */
    private void apply(Optional<StoredObject> object) {
        version = object.map(found -> OptionalLong.of(found.version())).orElseGet(OptionalLong::empty);
        List<Suspect> suspects =
                object.map(found -> SuspectCodec.decode(found.value())).orElseGet(List::of);
        Map<RequestFingerprint, Suspect> decoded = new LinkedHashMap<>();
        suspects.forEach(suspect -> decoded.put(suspect.fingerprint(), suspect));
        stored = decoded;
        suspects.forEach(state::mergeRemote);
    }

    /**
     * Logs that the object was written.
     *
     * @param tick The tick.
     * @param storedRequests The number of requests in the object.
     */
    private void recordDecision(Tick tick, int storedRequests) {
        tick.decide(Decision.of(
                "quarantine", KEY.toString(), "stored", storedRequests + " requests, version " + version.orElse(0)));
    }
}
