package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.CallBackOff;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Writes this node's own object to the platform once for each incarnation, and deletes it when the node departs.
 * Reading it first tells whether a former life had a higher incarnation, which happens when the clock was set back.
 */
final class MemberObjectSystem implements DecisionSystem {

    /** The first bound of the delay after a failed call. */
    private static final Duration FIRST_DELAY = Duration.ofSeconds(1);

    /** The largest bound of the delay after a failed call. */
    private static final Duration LONGEST_DELAY = Duration.ofSeconds(30);

    /** The state of the membership. */
    private final MembershipState state;

    /** Hands out the tokens of calls. */
    private final PlatformTokens tokens;

    /** When to call again. */
    private final CallBackOff backOff = new CallBackOff(FIRST_DELAY, LONGEST_DELAY);

    /** The token of the call under way, or empty if there is none. */
    private OptionalLong call = OptionalLong.empty();

    /** Whether the object needs no further call. */
    private boolean settled;

    /** The version of the object that this node wrote, or empty if it has not yet. */
    private OptionalLong version = OptionalLong.empty();

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param tokens Hands out the tokens of calls.
     */
    MemberObjectSystem(MembershipState state, PlatformTokens tokens) {
        this.state = state;
        this.tokens = tokens;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            if (call.isPresent() && call.getAsLong() == event.token()) {
                call = OptionalLong.empty();
                receive(tick, event);
            }
        }
        if (!tick.events(MembershipEvent.IdentityRaised.class).isEmpty()) {
            settled = false;
        }
        if (!tick.events(MembershipEvent.Departing.class).isEmpty()) {
            delete(tick);
        }
        if (!settled && call.isEmpty() && backOff.allows(tick.now())) {
            tick.emit(new PlatformEffect.Read(
                    newCall(),
                    PlatformPurpose.MEMBERSHIP,
                    MemberObject.key(state.table().self().identity().name())));
        }
    }

    /**
     * Handles the answer to the call under way.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void receive(Tick tick, PlatformEvent event) {
        if (event instanceof PlatformEvent.ObjectRead read) {
            compare(tick, read.object());
        } else if (event instanceof PlatformEvent.Conflict conflict) {
            compare(tick, conflict.current());
        } else if (event instanceof PlatformEvent.Accepted accepted) {
            settle(accepted.version());
        } else {
            backOff.failed(tick);
        }
    }

    /**
     * Compares the object with what it should be, and writes it if it is not.
     *
     * @param tick The tick.
     * @param object The object, or empty if it does not exist.
     */
    private void compare(Tick tick, Optional<StoredObject> object) {
        if (state.table().selfRow().is(MemberCondition.DEAD)) {
            settled = true;
            return;
        }
        Bytes own = MemberObject.encode(state.table().self());
        if (object.filter(stored -> stored.value().equals(own)).isPresent()) {
            settle(object.get().version());
            return;
        }
        object.flatMap(stored -> MemberObject.decode(stored.key().name(), stored.value()))
                .ifPresent(former ->
                        state.merge().apply(tick, new MemberRow(former, Long.MAX_VALUE - 1), "the platform's object"));
        OptionalLong expected =
                object.map(stored -> OptionalLong.of(stored.version())).orElseGet(OptionalLong::empty);
        tick.emit(new PlatformEffect.Write(
                newCall(),
                PlatformPurpose.MEMBERSHIP,
                MemberObject.key(state.table().self().identity().name()),
                expected,
                MemberObject.encode(state.table().self())));
    }

    /**
     * Takes note that the object is as it should be.
     *
     * @param current The object's version.
     */
    private void settle(long current) {
        settled = true;
        version = OptionalLong.of(current);
    }

    /**
     * Deletes the object if this node wrote it.
     *
     * @param tick The tick.
     */
    private void delete(Tick tick) {
        settled = true;
        if (version.isPresent()) {
            tick.emit(new PlatformEffect.Delete(
                    newCall(),
                    PlatformPurpose.MEMBERSHIP,
                    MemberObject.key(state.table().self().identity().name()),
                    version.getAsLong()));
        }
    }

    /**
     * Begins a call.
     *
     * @return The call's token.
     */
    private long newCall() {
        call = OptionalLong.of(tokens.next());
        return call.getAsLong();
    }
}
