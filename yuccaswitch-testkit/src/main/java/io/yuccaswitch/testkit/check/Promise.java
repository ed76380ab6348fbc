package io.yuccaswitch.testkit.check;

/** A promise of the system that can be checked against observations. */
public interface Promise {

    /**
     * Checks the promise.
     *
     * @param observations All observations of the run.
     * @return The verdict on the promise.
     */
    Verdict judge(Observations observations);
}
