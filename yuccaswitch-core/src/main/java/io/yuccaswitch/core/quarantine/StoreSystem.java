package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.CallBackOff;
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
 * Keeps requests under which several endpoints ended on the platform, in one object, such that they stay known when all
 * nodes end at once. The object is read once at a node's start and written by the node that found something out.
 */
final class StoreSystem implements DecisionSystem {

    /** The key of the object. */
    static final ObjectKey KEY = new ObjectKey("quarantine", "requests");

    /** The number of ended endpoints from which a request is kept. Of one alone, as good as all are served again. */
    private static final int KEPT_FROM = 2;

    /** The largest number of requests that are kept, far below the size of an object. */
    private static final int MAXIMUM_KEPT = 128;

    /** The first wait after a failed call. */
    private static final Duration FIRST_BACK_OFF = Duration.ofMillis(200);

    /** The longest wait after failed calls. */
    private static final Duration LONGEST_BACK_OFF = Duration.ofSeconds(2);

    /** The least time between two writes, which gathers what several attempts bring. */
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(200);

    /** What the systems share. */
    private final QuarantineState state;

    /** The calls that wait for their answers. */
    private final PlatformCalls calls;

    /** When the next call may be made. */
    private final CallBackOff backOff = new CallBackOff(FIRST_BACK_OFF, LONGEST_BACK_OFF);

    /** Whether the object was read. */
    private boolean read;

    /** Whether a call waits for its answer. */
    private boolean calling;

    /** The version of the object, or empty if there is none. */
    private OptionalLong version = OptionalLong.empty();

    /** What the object holds, as far as this node knows. */
    private Map<RequestFingerprint, Suspect> stored = Map.of();

    /**
     * Creates a system that has not read the object.
     *
     * @param state What the systems share.
     * @param tokens Hands out the tokens of calls.
     */
    StoreSystem(QuarantineState state, PlatformTokens tokens) {
        this.state = state;
        calls = new PlatformCalls(tokens);
    }

    @Override
    public void run(Tick tick) {
        calls.answer(tick);
        if (calling || !backOff.allows(tick.now())) {
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
        calling = true;
        calls.call(tick, token -> new PlatformEffect.Read(token, PlatformPurpose.QUARANTINE, KEY), (later, event) -> {
            calling = false;
            if (event instanceof PlatformEvent.ObjectRead answer) {
                read = true;
                backOff.succeeded(later.now(), Duration.ZERO);
                take(answer.object());
            } else {
                backOff.failed(later);
            }
        });
    }

    /**
     * Writes what this node found out, if the object lacks it.
     *
     * @param tick The tick.
     */
    private void write(Tick tick) {
        Set<RequestFingerprint> written = Set.copyOf(state.unstored());
        Map<RequestFingerprint, Suspect> wanted = wanted(written);
        if (wanted.equals(stored)) {
            state.unstored().removeAll(written);
            return;
        }
        calling = true;
        calls.call(
                tick,
                token -> new PlatformEffect.Write(
                        token, PlatformPurpose.QUARANTINE, KEY, version, SuspectCodec.encode(wanted.values())),
                (later, event) -> {
                    calling = false;
                    if (event instanceof PlatformEvent.Accepted accepted) {
                        version = OptionalLong.of(accepted.version());
                        stored = wanted;
                        state.unstored()
                                .removeIf(fingerprint -> written.contains(fingerprint) && isStored(fingerprint));
                        backOff.succeeded(later.now(), WRITE_INTERVAL);
                        explain(later, wanted.size());
                    } else if (event instanceof PlatformEvent.Conflict conflict) {
                        backOff.failed(later);
                        take(conflict.current());
                    } else {
                        backOff.failed(later);
                    }
                });
    }

    /**
     * Returns whether the object holds what is known of a request now, or need not.
     *
     * @param fingerprint The request.
     * @return {@code true} unless more was found out since.
     */
    private boolean isStored(RequestFingerprint fingerprint) {
        Optional<Suspect> known = state.suspects().find(fingerprint);
        return known.isEmpty() || known.get().equals(stored.get(fingerprint)) || !isKept(known.get());
    }

    /**
     * Returns what the object should hold.
     *
     * @param changed The requests that this node found something out about.
     * @return What it holds, merged with those.
     */
    private Map<RequestFingerprint, Suspect> wanted(Set<RequestFingerprint> changed) {
        Map<RequestFingerprint, Suspect> wanted = new LinkedHashMap<>(stored);
        for (RequestFingerprint fingerprint : changed) {
            Optional<Suspect> known = state.suspects().find(fingerprint);
            if (known.isPresent() && (isKept(known.get()) || wanted.containsKey(fingerprint))) {
                wanted.merge(fingerprint, known.get(), Suspect::merge);
            }
        }
        long now = state.epochMillis();
        wanted.values().removeIf(suspect -> QuarantinePolicy.isForgotten(suspect, now));
        while (wanted.size() > MAXIMUM_KEPT) {
            wanted.remove(wanted.keySet().iterator().next());
        }
        return wanted;
    }

    /**
     * Returns whether a request is kept on the platform.
     *
     * @param suspect The request.
     * @return {@code true} if enough endpoints ended under it.
     */
    private static boolean isKept(Suspect suspect) {
        return suspect.count() >= KEPT_FROM;
    }

    /**
     * Takes what the object holds.
     *
     * @param object The object, or empty if there is none.
     */
    private void take(Optional<StoredObject> object) {
        version = object.map(found -> OptionalLong.of(found.version())).orElseGet(OptionalLong::empty);
        List<Suspect> suspects =
                object.map(found -> SuspectCodec.decode(found.value())).orElseGet(List::of);
        Map<RequestFingerprint, Suspect> held = new LinkedHashMap<>();
        suspects.forEach(suspect -> held.put(suspect.fingerprint(), suspect));
        stored = held;
        suspects.forEach(state::hear);
    }

    /**
     * Explains that the object was written.
     *
     * @param tick The tick.
     * @param kept How many requests it holds.
     */
    private void explain(Tick tick, int kept) {
        tick.decide(
                Decision.of("quarantine", KEY.toString(), "stored", kept + " requests, version " + version.orElse(0)));
    }
}
