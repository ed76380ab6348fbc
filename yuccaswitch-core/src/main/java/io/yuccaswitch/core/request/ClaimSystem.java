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
 * Claims non-idempotent requests whose ids were chosen by their callers: before anything is sent, a conditional create
 * on the platform decides which incarnation of a node is the home. If the answer to a create is lost, the claim is read
 * to determine its owner. While the platform is unreachable, nothing is sent; the outcome is unknown instead of a
 * refusal, because the same id may have been sent through another node before.
 */
final class ClaimSystem implements DecisionSystem {

    /** The maximum number of writes for one claim. */
    private static final int MAXIMUM_WRITES = 3;

    /** The tables. */
    private final RequestTables tables;

    /** Concludes requests and notifies their waiters. */
    private final Conclusions conclusions;

    /** Admits requests at their home. */
    private final HomeAdmission homeAdmission;

    /** Forwards requests to their home. */
    private final ForwardingSystem forwarding;

    /** The generator of tokens for platform calls. */
    private final PlatformTokens tokens;

    /** The pending claims by the token of the platform call in progress. */
    private final EntityTable<Long, PendingClaim> claims = new EntityTable<>();

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions Concludes requests and notifies their waiters.
     * @param homeAdmission Admits requests at their home.
     * @param forwarding Forwards requests to their home.
     * @param tokens The generator of tokens for platform calls.
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
     * Starts to claim a request.
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
            claims.remove(event.token()).ifPresent(pending -> handleAnswer(tick, pending, event));
        }
    }

    /**
     * Handles an answer of the platform.
     *
     * @param tick The tick.
     * @param pending The pending claim.
     * @param event The answer.
     */
    private void handleAnswer(Tick tick, PendingClaim pending, PlatformEvent event) {
        Optional<RequestRow> row =
                tables.requests.find(pending.id()).filter(found -> found.stage() == RequestStage.CLAIMING);
        if (row.isEmpty()) {
            return;
        }
        if (event instanceof PlatformEvent.Accepted) {
            homeAdmission.admit(tick, row.get(), pending.claim().window());
        } else if (event instanceof PlatformEvent.Conflict conflict) {
            handleStoredClaim(tick, row.get(), pending, conflict.current());
        } else if (event instanceof PlatformEvent.ObjectRead read) {
            handleStoredClaim(tick, row.get(), pending, read.object());
        } else if (event instanceof PlatformEvent.Unavailable unavailable && unavailable.maybeApplied()) {
            read(tick, pending);
        } else {
            conclusions.conclude(tick, row.get(), unavailable());
        }
    }

    /**
     * Handles the claim that is stored on the platform.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param pending The pending claim.
     * @param object The object, or empty if there is none.
     */
    private void handleStoredClaim(Tick tick, RequestRow row, PendingClaim pending, Optional<StoredObject> object) {
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
     * @param pending The pending claim.
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
     * @param pending The pending claim.
     */
    private void read(Tick tick, PendingClaim pending) {
        long token = tokens.next();
        claims.put(token, pending);
        tick.emit(new PlatformEffect.Read(token, PlatformPurpose.REQUEST, RequestClaim.key(pending.id())));
    }

    /**
     * Creates the outcome of a request that can't be claimed.
     *
     * @return The outcome.
     */
    private static Outcome unavailable() {
        return new Outcome.Unknown(
                "platform-unavailable",
                "Nothing was sent for this call, but an earlier call with this id can't be ruled out; retry later.");
    }
}
