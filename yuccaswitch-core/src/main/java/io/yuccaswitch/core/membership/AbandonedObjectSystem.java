package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.Optional;

/**
 * Deletes the platform's objects of members that died without departing, once these are removed from the table. One
 * node is responsible for each object. An object that no node deletes only occupies storage.
 */
final class AbandonedObjectSystem implements DecisionSystem {

    /** The state of the membership. */
    private final MembershipState state;

    /** Allocates the tokens of calls. */
    private final PlatformTokens tokens;

    /** The members whose objects are being read, keyed by the tokens of the calls. */
    private final EntityTable<Long, NodeIdentity> pendingReads = new EntityTable<>();

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param tokens Allocates the tokens of calls.
     */
    AbandonedObjectSystem(MembershipState state, PlatformTokens tokens) {
        this.state = state;
        this.tokens = tokens;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            Optional<NodeIdentity> identity = pendingReads.remove(event.token());
            if (identity.isPresent() && event instanceof PlatformEvent.ObjectRead read) {
                read.object().ifPresent(object -> delete(tick, object, identity.get()));
            }
        }
        for (MembershipEvent.Forgotten event : tick.events(MembershipEvent.Forgotten.class)) {
            if (isResponsible(event.identity())) {
                long token = tokens.next();
                pendingReads.put(token, event.identity());
                tick.emit(new PlatformEffect.Read(
                        token,
                        PlatformPurpose.MEMBERSHIP,
                        MemberObject.key(event.identity().name())));
            }
        }
    }

    /**
     * Returns whether this node is responsible for deleting an object.
     *
     * @param identity The removed member.
     * @return {@code true} if this node is responsible.
     */
    private boolean isResponsible(NodeIdentity identity) {
        return RendezvousRanking.rank(identity.toString(), state.table().working()).stream()
                .findFirst()
                .filter(state.table().self()::equals)
                .isPresent();
    }

    /**
     * Deletes an object, unless the member has restarted.
     *
     * @param tick The tick.
     * @param object The object.
     * @param identity The removed member.
     */
    private void delete(Tick tick, StoredObject object, NodeIdentity identity) {
        MemberObject.decode(object.key().name(), object.value())
                .filter(member -> member.identity().equals(identity))
                .ifPresent(_member -> tick.emit(new PlatformEffect.Delete(
                        tokens.next(), PlatformPurpose.MEMBERSHIP, object.key(), object.version())));
    }
}
