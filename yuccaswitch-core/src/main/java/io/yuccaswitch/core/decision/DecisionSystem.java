package io.yuccaswitch.core.decision;

/** A system that runs over the tables of the decision core once in each tick. */
public interface DecisionSystem {

    /**
     * Runs this system for one tick. An implementation reads the tick's events, changes rows of its tables and emits
     * effects. It must not block, read a clock or use any source of randomness other than the tick's.
     *
     * @param tick The tick to run in.
     */
    void run(Tick tick);
}
