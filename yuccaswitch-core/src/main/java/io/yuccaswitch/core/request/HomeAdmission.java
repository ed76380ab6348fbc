package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Tick;
import java.util.Optional;

/**
 * Admits non-idempotent requests at their home: this incarnation of this node, the only one that may ever send them. An
 * id that was sent before, or for which that can no longer be ruled out, is not sent.
 */
final class HomeAdmission {

    /** The tables. */
    private final RequestTables tables;

    /** Queues requests or refuses them. */
    private final Admission admission;

    /** Searches for outcomes at other nodes and at endpoints. */
    private final ResolutionSystem resolution;

    /**
     * Creates a new admission.
     *
     * @param tables The tables.
     * @param admission Queues requests or refuses them.
     * @param resolution Searches for outcomes at other nodes and at endpoints.
     */
    HomeAdmission(RequestTables tables, Admission admission, ResolutionSystem resolution) {
        this.tables = tables;
        this.admission = admission;
        this.resolution = resolution;
    }

    /**
     * Admits a request whose home is this incarnation of this node.
     *
     * @param tick The tick.
     * @param arrived The request's row, for which nothing was sent yet.
     * @param window The issue window of the id, or {@link RequestClock#NO_WINDOW}.
     */
    void admit(Tick tick, RequestRow arrived, long window) {
        RequestRow row = arrived.withHome(tables.self(), window);
        switch (tables.concluded.status(row.id(), window, tables.clock.window(tick.now()))) {
            case ADMISSIBLE -> admission.admit(tick, row);
            case CONCLUDED ->
                resolution.resolve(
                        tick,
                        row,
                        new Outcome.Unknown(
                                "answer-expired", "The request was sent, but its answer is no longer retained."));
            case EXPIRED ->
                resolution.resolve(
                        tick,
                        row,
                        new Outcome.Unknown(
                                "request-id-expired", "The id is too old to determine whether the request ran."));
            case AHEAD ->
                admission.refuse(
                        tick,
                        row,
                        "request-id-ahead",
                        "The issue window of the id is in the future.",
                        Optional.empty());
            case FULL ->
                admission.refuse(
                        tick,
                        row,
                        "request-ids-exhausted",
                        "The node can't record more ids for now; use a new prefix.",
                        Optional.of(RequestClock.WINDOW_LENGTH));
            default -> throw new IllegalStateException("Unknown id status");
        }
    }
}
