package io.yuccaswitch.testkit.check;

/** A promise of the system that can be judged from observations. */
public interface Promise {

    /**
     * Judges the promise.
     *
     * @param observations Everything that was observed.
     * @return What the promise came to.
     */
    Verdict judge(Observations observations);
}
