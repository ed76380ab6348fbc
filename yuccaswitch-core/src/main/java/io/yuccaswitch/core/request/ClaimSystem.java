package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Claims non-idempotent requests whose ids their callers made: a conditional create on the platform, before anything is
 * sent, decides which life of a node is the home. A create whose answer was lost is settled by reading. While the
 * platform does not answer, nothing is sent; the outcome is unknown and not a refusal, because the same id may have
 * been sent through another node before.
 */
final class ClaimSystem implements DecisionSystem {

    /** The largest number of writes for one claim. */
    private static final int MAXIMUM_WRITES = 3;

    /** The tables. */
    private final RequestTables tables;

    /** What brings requests to their outcome. */
    private final Conclusions conclusions;

    /** What admits requests at their home. */
    private final HomeAdmission homeAdmission;

    /** What passes requests on to their home. */
    private final ForwardingSystem forwarding;

    /** The tokens of calls to the platform. */
    private final PlatformTokens tokens;

    /** The claims that are being made, by the token of the call that is waited for. */
    private final EntityTable<Long, PendingClaim> claims = new EntityTable<>();

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions What brings requests to their outcome.
     * @param homeAdmission What admits requests at their home.
     * @param forwarding What passes requests on to their home.
     * @param tokens The tokens of calls to the platform.
     */
    ClaimSystem(
            RequestTables tables,
            Conclusions conclusions,
            HomeAdmission homeAdmission,
            ForwardingSystem forwarding,
            PlatformTokens tokens) {
        this.tokens = tokens;
        this.tables = tables;
        this.conclusions = conclusions;
        this.homeAdmission = homeAdmission;
        this.forwarding = forwarding;
    }

    /**
     * Begins to claim a request.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    void claim(Tick tick, RequestRow row) {
        tables.requests.put(row.id(), row.withStage(RequestStage.CLAIMING, tick.now()));
        RequestClaim claim = new RequestClaim(
                tables.self(), tables.clock.window(tick.now()), tick.random().nextLong());
        write(tick, new PendingClaim(row.id(), claim, 0));
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            claims.remove(event.token()).ifPresent(pending -> answered(tick, pending, event));
        }
    }

    /**
     * Takes in an answer of the platform.
     *
     * @param tick The tick.
     * @param pending The claim.
     * @param event The answer.
     */
    private void answered(Tick tick, PendingClaim pending, PlatformEvent event) {
        Optional<RequestRow> row =
                tables.requests.find(pending.id()).filter(found -> found.stage() == RequestStage.CLAIMING);
        if (row.isEmpty()) {
            return;
        }
        if (event instanceof PlatformEvent.Accepted) {
            homeAdmission.admit(tick, row.get(), pending.claim().window());
        } else if (event instanceof PlatformEvent.Conflict conflict) {
            found(tick, row.get(), pending, conflict.current());
        } else if (event instanceof PlatformEvent.ObjectRead read) {
            found(tick, row.get(), pending, read.object());
        } else if (event instanceof PlatformEvent.Unavailable unavailable && unavailable.maybeApplied()) {
            read(tick, pending);
        } else {
            conclusions.conclude(tick, row.get(), unavailable());
        }
    }

    /**
     * Takes in what the platform holds.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param pending The claim.
     * @param object The object, or empty if there is none.
     */
    private void found(Tick tick, RequestRow row, PendingClaim pending, Optional<StoredObject> object) {
        if (object.isEmpty()) {
            if (pending.writes() < MAXIMUM_WRITES) {
                write(tick, pending);
                return;
            }
            conclusions.conclude(tick, row, unavailable());
            return;
        }
        Optional<RequestClaim> claim = RequestClaim.decode(object.get().value());
        if (claim.isEmpty()) {
            conclusions.conclude(
                    tick, row, new Outcome.Unknown("claim-unreadable", "The claim of the id can't be read."));
        } else if (claim.get().owner().equals(tables.self())) {
            homeAdmission.admit(tick, row, claim.get().window());
        } else {
            forwarding.forward(tick, row, claim.get().owner(), claim.get().window());
        }
    }

    /**
     * Sends a conditional create.
     *
     * @param tick The tick.
     * @param pending The claim.
     */
    private void write(Tick tick, PendingClaim pending) {
        long token = tokens.next();
        claims.put(token, pending.afterWrite());
        tick.emit(new PlatformEffect.Write(
                token,
                PlatformPurpose.REQUEST,
                RequestClaim.key(pending.id()),
                OptionalLong.empty(),
                pending.claim().encode()));
    }

    /**
     * Reads the claim after a create whose answer was lost.
     *
     * @param tick The tick.
     * @param pending The claim.
     */
    private void read(Tick tick, PendingClaim pending) {
        long token = tokens.next();
        claims.put(token, pending);
        tick.emit(new PlatformEffect.Read(token, PlatformPurpose.REQUEST, RequestClaim.key(pending.id())));
    }

    /**
     * Describes a request that can't be claimed.
     *
     * @return The outcome.
     */
    private static Outcome unavailable() {
        return new Outcome.Unknown(
                "platform-unavailable",
                "Nothing was sent now, but an earlier call with this id can't be ruled out; send it again later.");
    }
}
