package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Tick;
import java.util.Optional;

/**
 * Admits non-idempotent requests at their home: this life of this node, the only one that may ever send them. An id
 * that was sent before, or of which that can't be ruled out any more, is not sent.
 */
final class HomeAdmission {

    /** The tables. */
    private final RequestTables tables;

    /** What takes requests into the queue. */
    private final Admission admission;

    /** What searches outcomes elsewhere. */
    private final ResolutionSystem resolution;

    /**
     * Creates a new admission.
     *
     * @param tables The tables.
     * @param admission What takes requests into the queue.
     * @param resolution What searches outcomes elsewhere.
     */
    HomeAdmission(RequestTables tables, Admission admission, ResolutionSystem resolution) {
        this.tables = tables;
        this.admission = admission;
        this.resolution = resolution;
    }

    /**
     * Admits a request whose home is this life of this node.
     *
     * @param tick The tick.
     * @param arrived The request's row, which nothing was sent for yet.
     * @param window The issue window of the id, or {@link RequestClock#NO_WINDOW}.
     */
    void admit(Tick tick, RequestRow arrived, long window) {
        RequestRow row = arrived.withHome(tables.self(), window);
        switch (tables.concluded.standing(row.id(), window, tables.clock.window(tick.now()))) {
            case ADMISSIBLE -> admission.admit(tick, row);
            case CONCLUDED ->
                resolution.resolve(
                        tick,
                        row,
                        new Outcome.Unknown("answer-expired", "The request was sent, its answer is not kept."));
            case EXPIRED ->
                resolution.resolve(
                        tick,
                        row,
                        new Outcome.Unknown("request-id-expired", "The id is too old to tell whether it ran."));
            case AHEAD ->
                admission.refuse(
                        tick, row, "request-id-ahead", "The id names a time that has not come.", Optional.empty());
            case FULL ->
                admission.refuse(
                        tick,
                        row,
                        "request-ids-exhausted",
                        "The node can't remember further ids for now; use a new prefix.",
                        Optional.of(RequestClock.WINDOW));
            default -> throw new IllegalStateException("Unknown standing");
        }
    }
}
