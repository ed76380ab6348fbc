package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.Tick;

/** What systems that send requests to endpoints ask and tell of requests under which endpoints ended. */
public interface Quarantine {

    /**
     * Returns what is known.
     *
     * @return The view.
     */
    QuarantineView view();

    /**
     * Returns the time of day by which verdicts are asked for.
     *
     * @return The time in milliseconds since the epoch.
     */
    long epochMillis();

    /**
     * Takes what happened to a request, such that the next verdict counts it.
     *
     * @param tick The tick.
     * @param event What happened.
     */
    void report(Tick tick, QuarantineEvent event);

    /** Knows nothing and learns nothing. */
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
            // Nothing is learnt.
        }
    }
}
