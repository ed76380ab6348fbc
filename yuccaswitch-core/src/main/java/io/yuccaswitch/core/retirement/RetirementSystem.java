package io.yuccaswitch.core.retirement;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.CallBackOff;
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
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Answers requests to empty a VM with a disk. Nothing of the product lies on such disks, so each request is completed
 * at once, by the node that gives the orders to engines.
 */
public final class RetirementSystem implements DecisionSystem {

    /** The kind of the requests' objects. */
    public static final String KIND = "retirement";

    /** What is written when a VM is empty. */
    private static final Bytes COMPLETED = Bytes.ofUtf8("completed");

    /** The first wait after a failed call. */
    private static final Duration FIRST_BACK_OFF = Duration.ofMillis(150);

    /** The longest wait after failed calls. */
    private static final Duration LONGEST_BACK_OFF = Duration.ofMillis(700);

    /** No gathering: requests are rare. */
    private static final Duration GATHERING = Duration.ZERO;

    /** How long one watch waits, which bounds how late a connection that has gone silent is noticed. */
    private static final Duration WAIT_TIME = Duration.ofSeconds(4);

    /** The watch of the requests. */
    private final KindWatch watch;

    /** The calls to the platform that wait for their answers. */
    private final PlatformCalls calls;

    /** Whether this node answers requests. */
    private final BooleanSupplier responsible;

    /** The names of the VMs whose requests are answered. */
    private final Set<String> answered = new HashSet<>();

    /** The requests that are not answered yet, by the names of the VMs. */
    private final Map<String, StoredObject> pending = new LinkedHashMap<>();

    /** When the next answer may be written after a failure. */
    private final CallBackOff backOff = new CallBackOff(FIRST_BACK_OFF, LONGEST_BACK_OFF);

    /** Whether an answer is on its way. */
    private boolean writing;

    /**
     * Creates a system without requests.
     *
     * @param tokens Hands out the tokens of calls.
     * @param responsible Whether this node answers requests.
     */
    public RetirementSystem(PlatformTokens tokens, BooleanSupplier responsible) {
        watch = new KindWatch(KIND, PlatformPurpose.MEMBERSHIP, tokens, GATHERING, WAIT_TIME);
        calls = new PlatformCalls(tokens);
        this.responsible = responsible;
    }

    @Override
    public void run(Tick tick) {
        calls.answer(tick);
        if (!responsible.getAsBoolean()) {
            return;
        }
        watch.run(tick).ifPresent(news -> news.objects().forEach(this::take));
        if (!writing && !pending.isEmpty() && backOff.allows(tick.now())) {
            write(tick, pending.values().iterator().next());
        }
    }

    /**
     * Takes a request as it is now.
     *
     * @param object The request.
     */
    private void take(StoredObject object) {
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
     * @param object The request as it is.
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
     * Takes the platform's answer.
     *
     * @param tick The tick.
     * @param object The request as it was.
     * @param event The answer.
     */
    private void receive(Tick tick, StoredObject object, PlatformEvent event) {
        writing = false;
        String name = object.key().name();
        tick.decide(Decision.of("retirement", name, event.getClass().getSimpleName(), "nothing lies on the VM's disk"));
        if (event instanceof PlatformEvent.Accepted) {
            answered.add(name);
            pending.remove(name);
        } else if (event instanceof PlatformEvent.Conflict conflict
                && conflict.current().isPresent()) {
            pending.put(name, conflict.current().get());
        } else {
            backOff.failed(tick);
        }
    }
}
