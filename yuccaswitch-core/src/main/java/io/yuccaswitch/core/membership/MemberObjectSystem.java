package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.CallBackoff;
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
 * Writes this node's own object to the platform once for each incarnation, and deletes it when the node departs. The
 * object is read first, since a previous start may have used a higher incarnation if the clock was set back.
 */
final class MemberObjectSystem implements DecisionSystem {

    /** The initial upper bound of the delay after a failed call. */
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofSeconds(1);

    /** The maximum upper bound of the delay after a failed call. */
    private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(30);

    /** The state of the membership. */
    private final MembershipState state;

    /** Allocates the tokens of calls. */
    private final PlatformTokens tokens;

    /** The backoff of calls. */
    private final CallBackoff backoff = new CallBackoff(INITIAL_RETRY_DELAY, MAXIMUM_RETRY_DELAY);

    /** The token of the pending call, or empty if there is none. */
    private OptionalLong pendingCall = OptionalLong.empty();

    /** Whether the object needs no further call. */
    private boolean completed;

    /** The version of the object that this node wrote, or empty if it has not written it yet. */
    private OptionalLong version = OptionalLong.empty();

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param tokens Allocates the tokens of calls.
     */
    MemberObjectSystem(MembershipState state, PlatformTokens tokens) {
        this.state = state;
        this.tokens = tokens;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            if (pendingCall.isPresent() && pendingCall.getAsLong() == event.token()) {
                pendingCall = OptionalLong.empty();
                receive(tick, event);
            }
        }
        if (!tick.events(MembershipEvent.IdentityRaised.class).isEmpty()) {
            completed = false;
        }
        if (!tick.events(MembershipEvent.Departing.class).isEmpty()) {
            delete(tick);
        }
        if (!completed && pendingCall.isEmpty() && backoff.allows(tick.now())) {
            tick.emit(new PlatformEffect.Read(
                    newCall(),
                    PlatformPurpose.MEMBERSHIP,
                    MemberObject.key(state.table().self().identity().name())));
        }
    }

    /**
     * Handles the answer to the pending call.
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
            recordUpToDate(accepted.version());
        } else {
            backoff.failed(tick);
        }
    }

    /**
     * Compares the stored object with this node's current row, and writes it if they differ.
     *
     * @param tick The tick.
     * @param object The stored object, or empty if it does not exist.
     */
    private void compare(Tick tick, Optional<StoredObject> object) {
        if (state.table().selfRow().is(MemberCondition.DEAD)) {
            completed = true;
            return;
        }
        Bytes own = MemberObject.encode(state.table().self());
        if (object.filter(stored -> stored.value().equals(own)).isPresent()) {
            recordUpToDate(object.get().version());
            return;
        }
        object.flatMap(stored -> MemberObject.decode(stored.key().name(), stored.value()))
                .ifPresent(previous ->
                        state.merge().apply(tick, new MemberRow(previous, Long.MAX_VALUE - 1), "platform object"));
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
     * Records that the stored object is up to date.
     *
     * @param current The object's version.
     */
    private void recordUpToDate(long current) {
        completed = true;
        version = OptionalLong.of(current);
    }

    /**
     * Deletes the object if this node wrote it.
     *
     * @param tick The tick.
     */
    private void delete(Tick tick) {
        completed = true;
        if (version.isPresent()) {
            tick.emit(new PlatformEffect.Delete(
                    newCall(),
                    PlatformPurpose.MEMBERSHIP,
                    MemberObject.key(state.table().self().identity().name()),
                    version.getAsLong()));
        }
    }

    /**
     * Allocates the token of a new call.
     *
     * @return The call's token.
     */
    private long newCall() {
        pendingCall = OptionalLong.of(tokens.next());
        return pendingCall.getAsLong();
    }
}
