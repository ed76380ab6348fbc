package io.yuccaswitch.core.retirement;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
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
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Answers requests to empty a VM with a disk. Nothing of the product lies on such disks, so each request is completed at
 * once, by the node that gives the orders to engines.
 */
public final class RetirementSystem implements DecisionSystem {

    /** The kind of the requests' objects. */
    public static final String KIND = "retirement";

    /** What is written when a VM is empty. */
    private static final Bytes COMPLETED = Bytes.ofUtf8("completed");

    /** No gathering: requests are rare. */
    private static final Duration GATHERING = Duration.ZERO;

    /** The watch of the requests. */
    private final KindWatch watch;

    /** The calls to the platform that wait for their answers. */
    private final PlatformCalls calls;

    /** Whether this node answers requests. */
    private final BooleanSupplier responsible;

    /** The requests that are answered. */
    private final Set<String> answered = new HashSet<>();

    /**
     * Creates a system without requests.
     *
     * @param tokens Hands out the tokens of calls.
     * @param responsible Whether this node answers requests.
     */
    public RetirementSystem(PlatformTokens tokens, BooleanSupplier responsible) {
        watch = new KindWatch(KIND, PlatformPurpose.MEMBERSHIP, tokens, GATHERING);
        calls = new PlatformCalls(tokens);
        this.responsible = responsible;
    }

    @Override
    public void run(Tick tick) {
        calls.answer(tick);
        if (responsible.getAsBoolean()) {
            watch.run(tick).ifPresent(news -> news.objects().forEach(object -> answer(tick, object)));
        }
    }

    /**
     * Answers a request.
     *
     * @param tick The tick.
     * @param object The request.
     */
    private void answer(Tick tick, StoredObject object) {
        String name = object.key().name();
        if (object.deleted()) {
            answered.remove(name);
            return;
        }
        if (answered.add(name)) {
            write(tick, object);
        }
    }

    /**
     * Writes that a VM is empty, until the platform has taken it.
     *
     * @param tick The tick.
     * @param object The request as it is.
     */
    private void write(Tick tick, StoredObject object) {
        calls.call(
                tick,
                token -> new PlatformEffect.Write(
                        token,
                        PlatformPurpose.MEMBERSHIP,
                        object.key(),
                        OptionalLong.of(object.version()),
                        COMPLETED),
                (later, event) -> {
                    later.decide(Decision.of(
                            "retirement",
                            object.key().name(),
                            event.getClass().getSimpleName(),
                            "nothing lies on its disk"));
                    if (event instanceof PlatformEvent.Conflict conflict) {
                        conflict.current().ifPresent(current -> write(later, current));
                    } else if (event instanceof PlatformEvent.Unavailable) {
                        write(later, object);
                    }
                });
    }
}
