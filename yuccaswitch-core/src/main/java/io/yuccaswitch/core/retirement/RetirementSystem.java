package io.yuccaswitch.core.retirement;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.CallBackoff;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.KindWatch;
import io.yuccaswitch.core.platform.PlatformCalls;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Answers requests to empty a VM with a disk. The service stores nothing on such disks, so each request is completed
 * immediately, by the node that gives the orders to engines.
 */
public final class RetirementSystem implements DecisionSystem {

    /** The kind of the requests' objects. */
    public static final String KIND = "retirement";

    /** The value that is written when a VM is empty. */
    private static final Bytes COMPLETED = Bytes.ofUtf8("completed");

    /** The first delay after a failed call. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(150);

    /** The maximum delay after failed calls. */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(700);

    /** No batching delay, as requests are rare. */
    private static final Duration BATCHING_DELAY = Duration.ZERO;

    /** How long the platform holds a watch, which bounds the time until a broken connection is detected. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(4);

    /** The watch of the requests. */
    private final KindWatch watch;

    /** The pending calls to the platform. */
    private final PlatformCalls calls;

    /** Whether this node answers requests. */
    private final BooleanSupplier responsible;

    /** The names of the VMs whose requests have been answered. */
    private final Set<String> answered = new HashSet<>();

    /** The requests that have not been answered yet, by the names of the VMs. */
    private final Map<String, StoredObject> pending = new LinkedHashMap<>();

    /** Delays the next answer after a failure. */
    private final CallBackoff backoff = new CallBackoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF);

    /** Whether the call that writes an answer is pending. */
    private boolean writing;

    /**
     * Creates a system without requests.
     *
     * @param tokens Allocates the tokens of calls.
     * @param responsible Whether this node answers requests.
     */
    public RetirementSystem(PlatformTokens tokens, BooleanSupplier responsible) {
        watch = new KindWatch(KIND, PlatformPurpose.MEMBERSHIP, tokens, BATCHING_DELAY, WATCH_TIMEOUT);
        calls = new PlatformCalls(tokens);
        this.responsible = responsible;
    }

    @Override
    public void run(Tick tick) {
        calls.processAnswers(tick);
        boolean isResponsible = responsible.getAsBoolean();
        // A call that was sent while responsible may be answered later, and without the answer none follows.
        Optional<KindFeed.Changes> answer = isResponsible ? watch.run(tick) : watch.receive(tick);
        answer.ifPresent(changes -> changes.objects().forEach(this::apply));
        if (!isResponsible) {
            return;
        }
        if (!writing && !pending.isEmpty() && backoff.allows(tick.now())) {
            write(tick, pending.values().iterator().next());
        }
    }

    /**
     * Applies the current state of a request.
     *
     * @param object The request.
     */
    private void apply(StoredObject object) {
        String name = object.key().name();
        if (object.deleted()) {
            answered.remove(name);
            pending.remove(name);
        } else if (!answered.contains(name)) {
            pending.put(name, object);
        }
    }

    /**
     * Writes that a VM is empty.
     *
     * @param tick The tick.
     * @param object The request as it was read.
     */
    private void write(Tick tick, StoredObject object) {
        writing = true;
        calls.call(
                tick,
                token -> new PlatformEffect.Write(
                        token, PlatformPurpose.MEMBERSHIP, object.key(), OptionalLong.of(object.version()), COMPLETED),
                (later, event) -> receive(later, object, event));
    }

    /**
     * Processes the platform's answer to a write.
     *
     * @param tick The tick.
     * @param object The request for which the call was made.
     * @param event The answer.
     */
    private void receive(Tick tick, StoredObject object, PlatformEvent event) {
        writing = false;
        String name = object.key().name();
        tick.decide(Decision.of(
                "retirement", name, event.getClass().getSimpleName(), "the service stores nothing on the VM's disk"));
        if (event instanceof PlatformEvent.Accepted) {
            answered.add(name);
            pending.remove(name);
        } else if (event instanceof PlatformEvent.Conflict conflict
                && conflict.current().isPresent()) {
            pending.put(name, conflict.current().get());
        } else {
            backoff.failed(tick);
        }
    }
}
