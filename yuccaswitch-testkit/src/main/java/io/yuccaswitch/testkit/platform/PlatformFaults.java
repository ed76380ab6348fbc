package io.yuccaswitch.testkit.platform;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/** The faults that are in force. All methods may be called from any thread. */
public final class PlatformFaults {

    /** How the stand-in is out of service. */
    private volatile Outage outage = Outage.NONE;

    /** The delay of each answer. */
    private volatile Duration delay = Duration.ZERO;

    /** The time by which reads lag behind. */
    private volatile Duration replicaLag = Duration.ZERO;

    /** The number of writes whose answers are still to be lost. */
    private final AtomicInteger answersToLose = new AtomicInteger();

    /** The number of writes that are still to be lost before they take effect. */
    private final AtomicInteger requestsToLose = new AtomicInteger();

    /** Creates faults of which none is in force. */
    PlatformFaults() {}

    /**
     * Takes the stand-in out of service or back.
     *
     * @param newOutage How it is out of service.
     */
    public void outage(Outage newOutage) {
        outage = newOutage;
    }

    /**
     * Delays each answer.
     *
     * @param newDelay The delay.
     */
    public void delay(Duration newDelay) {
        delay = newDelay;
    }

    /**
     * Lets reads, lists and watches lag behind.
     *
     * @param newReplicaLag The time by which they lag.
     */
    public void replicaLag(Duration newReplicaLag) {
        replicaLag = newReplicaLag;
    }

    /**
     * Loses the answers of the next writes after they took effect.
     *
     * @param writes The number of writes.
     */
    public void loseAnswers(int writes) {
        answersToLose.set(writes);
    }

    /**
     * Loses the next writes before they take effect.
     *
     * @param writes The number of writes.
     */
    public void loseRequests(int writes) {
        requestsToLose.set(writes);
    }

    /**
     * Returns how the stand-in is out of service.
     *
     * @return How it is out of service.
     */
    Outage outage() {
        return outage;
    }

    /**
     * Returns the delay of each answer.
     *
     * @return The delay.
     */
    Duration delay() {
        return delay;
    }

    /**
     * Returns the time by which reads lag behind.
     *
     * @return The lag.
     */
    Duration replicaLag() {
        return replicaLag;
    }

    /**
     * Decides what is lost of a write that arrived.
     *
     * @return What is lost.
     */
    LossKind takeLoss() {
        if (takeOne(requestsToLose)) {
            return LossKind.REQUEST;
        }
        return takeOne(answersToLose) ? LossKind.ANSWER : LossKind.NONE;
    }

    /**
     * Takes one from a count if it is not zero.
     *
     * @param count The count.
     * @return {@code true} if one was taken.
     */
    private static boolean takeOne(AtomicInteger count) {
        return count.getAndUpdate(value -> Math.max(0, value - 1)) > 0;
    }
}
