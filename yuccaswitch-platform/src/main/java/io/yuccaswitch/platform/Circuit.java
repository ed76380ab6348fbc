package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.PlatformPurpose;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * A circuit breaker that stops calls to a failing platform. After several consecutive failures the circuit opens, and
 * calls are rejected without being sent. After a random delay one call is admitted as a probe. Its success closes the
 * circuit, and its failure starts a longer delay. The delay is shorter for lease calls than for others: few nodes hold
 * leases, and a lease would expire.
 */
final class Circuit {

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The number of consecutive failures after which the circuit opens. */
    private final int failureThreshold;

    /** The backoff before probes. */
    private final FullJitterBackoff backoff;

    /** The backoff before probes for leases. */
    private final FullJitterBackoff leaseBackoff;

    /** The callback to run when the circuit closes. */
    private final Runnable onClose;

    /** The number of consecutive failures while the circuit is closed. */
    private int consecutiveFailures;

    /** The number of consecutive openings and failed probes, which is zero while the circuit is closed. */
    private int consecutiveOpenings;

    /** The monotonic time in nanoseconds from which a probe is admitted. */
    private long probeAt;

    /** The monotonic time in nanoseconds from which a probe for a lease is admitted. */
    private long leaseProbeAt;

    /** Whether a probe is in flight. */
    private boolean probeInFlight;

    /**
     * Creates a closed circuit.
     *
     * @param failureThreshold The number of consecutive failures after which the circuit opens.
     * @param backoff The backoff before probes.
     * @param maximumLeaseDelay The maximum bound of the delay before a probe for a lease.
     * @param clock The monotonic clock in nanoseconds.
     * @param onClose The callback to run when the circuit closes.
     */
    Circuit(
            int failureThreshold,
            FullJitterBackoff backoff,
            Duration maximumLeaseDelay,
            LongSupplier clock,
            Runnable onClose) {
        this.failureThreshold = failureThreshold;
        this.backoff = backoff;
        leaseBackoff = backoff.withMaximumBound(maximumLeaseDelay);
        this.clock = clock;
        this.onClose = onClose;
    }

    /**
     * Decides whether a call is admitted.
     *
     * @param purpose The purpose of the call.
     * @return The admission decision.
     */
    synchronized Admission admit(PlatformPurpose purpose) {
        if (consecutiveOpenings == 0) {
            return Admission.PASS;
        }
        long allowedAt = purpose == PlatformPurpose.LEASE ? leaseProbeAt : probeAt;
        if (probeInFlight || clock.getAsLong() - allowedAt < 0) {
            return Admission.REFUSE;
        }
        probeInFlight = true;
        return Admission.PROBE;
    }

    /**
     * Returns whether the circuit is open.
     *
     * @return {@code true} while calls are rejected or a probe is in flight.
     */
    synchronized boolean isOpen() {
        return consecutiveOpenings > 0;
    }

    /**
     * Returns the time until a probe for a purpose other than leases may be admitted.
     *
     * @return The time, which is zero if the circuit is closed or a probe is admitted now.
     */
    synchronized Duration timeUntilProbe() {
        return consecutiveOpenings == 0 ? Duration.ZERO : Duration.ofNanos(Math.max(0, probeAt - clock.getAsLong()));
    }

    /** Records that the platform answered a call, and closes the circuit if it is open. */
    void succeeded() {
        if (close()) {
            onClose.run();
        }
    }

    /**
     * Records that a call failed.
     *
     * @param admission The admission decision for the call.
     */
    synchronized void failed(Admission admission) {
        if (consecutiveOpenings == 0) {
            consecutiveFailures++;
            if (consecutiveFailures >= failureThreshold) {
                open();
            }
        } else if (admission == Admission.PROBE) {
            probeInFlight = false;
            open();
        }
    }

    /**
     * Records that a call was abandoned, so that its result is unknown.
     *
     * @param admission The admission decision for the call.
     */
    synchronized void abandoned(Admission admission) {
        if (admission == Admission.PROBE) {
            probeInFlight = false;
        }
    }

    /**
     * Closes the circuit.
     *
     * @return {@code true} if it was open.
     */
    private synchronized boolean close() {
        boolean wasOpen = consecutiveOpenings > 0;
        consecutiveFailures = 0;
        consecutiveOpenings = 0;
        probeInFlight = false;
        return wasOpen;
    }

    /** Opens the circuit, or keeps it open for a longer delay. */
    private void open() {
        consecutiveOpenings++;
        double fraction = backoff.random().nextDouble();
        long now = clock.getAsLong();
        probeAt = now + backoff.delayAfter(consecutiveOpenings, fraction).toNanos();
        leaseProbeAt =
                now + leaseBackoff.delayAfter(consecutiveOpenings, fraction).toNanos();
    }

    /** The decision whether a call is sent. */
    enum Admission {
        /** The call is sent normally. */
        PASS,
        /** The call is sent as a probe, while the circuit rejects all other calls. */
        PROBE,
        /** The call is not sent. */
        REFUSE
    }
}
