package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Tick;

/**
 * The quarantine as seen by systems that send requests to endpoints: they query the state of requests and report what
 * became of them.
 */
public interface Quarantine {

    /**
     * Returns the current state of suspect requests.
     *
     * @return The view.
     */
    QuarantineView view();

    /**
     * Returns the time of day to query verdicts with.
     *
     * @return The time in milliseconds since the epoch.
     */
    long epochMillis();

    /**
     * Records what happened to a request, so that the next verdict takes it into account.
     *
     * @param tick The tick.
     * @param event The event.
     */
    void report(Tick tick, QuarantineEvent event);

    /** A quarantine that records nothing and treats no request as suspect. */
    enum NoOp implements Quarantine {
        /** The only instance. */
        INSTANCE;

        @Override
        public QuarantineView view() {
            return QuarantineView.EMPTY;
        }

        @Override
        public long epochMillis() {
            return 0;
        }

        @Override
        public void report(Tick _tick, QuarantineEvent _event) {
            // No state is kept.
        }
    }
}
