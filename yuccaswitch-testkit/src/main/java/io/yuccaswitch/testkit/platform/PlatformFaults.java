package io.yuccaswitch.testkit.platform;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/** The active faults of the platform stand-in. This class is thread-safe. */
public final class PlatformFaults {

    /** The active outage. */
    private volatile Outage outage = Outage.NONE;

    /** The delay of each answer. */
    private volatile Duration delay = Duration.ZERO;

    /** The time by which reads lag. */
    private volatile Duration replicaLag = Duration.ZERO;

    /** The remaining number of writes whose answers are lost. */
    private final AtomicInteger answersToLose = new AtomicInteger();

    /** The remaining number of writes that are lost before they take effect. */
    private final AtomicInteger requestsToLose = new AtomicInteger();

    /** Creates an object without active faults. */
    PlatformFaults() {}

    /**
     * Starts or ends an outage.
     *
     * @param newOutage The new outage, or {@link Outage#NONE} to end it.
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
     * Sets the time by which reads, lists and watches lag.
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
     * Returns the active outage.
     *
     * @return The outage, or {@link Outage#NONE}.
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
     * Returns the time by which reads lag.
     *
     * @return The lag.
     */
    Duration replicaLag() {
        return replicaLag;
    }

    /**
     * Determines which part of a received write is lost, and consumes one of the injected losses.
     *
     * @return The part that is lost.
     */
    LossKind nextLoss() {
        if (decrementIfPositive(requestsToLose)) {
            return LossKind.REQUEST;
        }
        return decrementIfPositive(answersToLose) ? LossKind.ANSWER : LossKind.NONE;
    }

    /**
     * Decrements a count if it is positive.
     *
     * @param count The count.
     * @return {@code true} if the count was positive.
     */
    private static boolean decrementIfPositive(AtomicInteger count) {
        return count.getAndUpdate(value -> Math.max(0, value - 1)) > 0;
    }
}
