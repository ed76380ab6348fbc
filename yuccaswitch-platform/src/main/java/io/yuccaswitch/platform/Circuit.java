package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.PlatformPurpose;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Keeps calls from a platform that fails. After a few failures in a row the circuit opens, and calls are refused
 * without being sent. After a random wait one call is let through as a probe. Its success closes the circuit, and its
 * failure starts a longer wait. A call for a lease waits less long than others: few nodes hold leases, and a lease
 * would lapse.
 */
final class Circuit {

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The number of failures in a row after which the circuit opens. */
    private final int threshold;

    /** The waits before probes. */
    private final FullJitterBackoff backoff;

    /** The waits before probes that are made for leases. */
    private final FullJitterBackoff leaseBackoff;

    /** What to do when the circuit closes. */
    private final Runnable onClose;

    /** The failures in a row while the circuit is closed. */
    private int failures;

    /** The openings and failed probes in a row, zero while the circuit is closed. */
    private int openings;

    /** The time in nanoseconds from which a probe is let through. */
    private long probeAt;

    /** The time in nanoseconds from which a probe for a lease is let through. */
    private long leaseProbeAt;

    /** Whether a probe is on its way. */
    private boolean probing;

    /**
     * Creates a closed circuit.
     *
     * @param threshold The number of failures in a row after which the circuit opens.
     * @param backoff The waits before probes.
     * @param maximumLeaseWait The largest bound of the waits before probes that are made for leases.
     * @param clock The monotonic clock in nanoseconds.
     * @param onClose What to do when the circuit closes.
     */
    Circuit(int threshold, FullJitterBackoff backoff, Duration maximumLeaseWait, LongSupplier clock, Runnable onClose) {
        this.threshold = threshold;
        this.backoff = backoff;
        leaseBackoff = backoff.withMaximum(maximumLeaseWait);
        this.clock = clock;
        this.onClose = onClose;
    }

    /**
     * Decides whether a call is let through.
     *
     * @param purpose The purpose of the call.
     * @return How the call is let through, or that it is not.
     */
    synchronized Admission admit(PlatformPurpose purpose) {
        if (openings == 0) {
            return Admission.PASS;
        }
        long allowedAt = purpose == PlatformPurpose.LEASE ? leaseProbeAt : probeAt;
        if (probing || clock.getAsLong() - allowedAt < 0) {
            return Admission.REFUSE;
        }
        probing = true;
        return Admission.PROBE;
    }

    /**
     * Returns whether the circuit is open.
     *
     * @return {@code true} while calls are refused or a probe is on its way.
     */
    synchronized boolean isOpen() {
        return openings > 0;
    }

    /**
     * Returns the time until a probe that is not made for a lease may be let through.
     *
     * @return The time, zero if the circuit is closed or a probe may be made now.
     */
    synchronized Duration untilProbe() {
        return openings == 0 ? Duration.ZERO : Duration.ofNanos(Math.max(0, probeAt - clock.getAsLong()));
    }

    /** Notes that the platform answered, whatever call it was. */
    void succeeded() {
        if (close()) {
            onClose.run();
        }
    }

    /**
     * Notes that a call failed.
     *
     * @param admission How the call was let through.
     */
    synchronized void failed(Admission admission) {
        if (openings == 0) {
            failures++;
            if (failures >= threshold) {
                open();
            }
        } else if (admission == Admission.PROBE) {
            probing = false;
            open();
        }
    }

    /**
     * Notes that nobody waits for a call any longer, such that its result stays unknown.
     *
     * @param admission How the call was let through.
     */
    synchronized void abandoned(Admission admission) {
        if (admission == Admission.PROBE) {
            probing = false;
        }
    }

    /**
     * Closes the circuit.
     *
     * @return {@code true} if it was open.
     */
    private synchronized boolean close() {
        boolean wasOpen = openings > 0;
        failures = 0;
        openings = 0;
        probing = false;
        return wasOpen;
    }

    /** Opens the circuit, or keeps it open for a longer wait. */
    private void open() {
        openings++;
        double drawn = backoff.random().nextDouble();
        long now = clock.getAsLong();
        probeAt = now + backoff.wait(openings, drawn).toNanos();
        leaseProbeAt = now + leaseBackoff.wait(openings, drawn).toNanos();
    }

    /** How a call is let through. */
    enum Admission {
        /** The call is sent as usual. */
        PASS,
        /** The call is sent as the only one while the circuit is open. */
        PROBE,
        /** The call is not sent. */
        REFUSE
    }
}
