package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.PlatformPurpose;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The rate limits of one client. Writes and reads have separate buckets. Leases and configuration have priority: the
 * other purposes leave a reserve to them, and each of the others is limited to its share. Leases and configuration
 * together leave a share to the others, so that a fault in one of them cannot block all other calls.
 */
final class CallBudget {

    /** The purposes with priority. */
    private static final Set<PlatformPurpose> URGENT = Set.of(PlatformPurpose.LEASE, PlatformPurpose.CONFIGURATION);

    /** The share of a bucket's capacity that is reserved for the urgent purposes. */
    private static final double URGENT_RESERVE = 0.3;

    /** The maximum share of the rate for all urgent purposes together. */
    private static final double URGENT_SHARE = 0.8;

    /** The maximum share of the rate for each of the other purposes. */
    private static final double PURPOSE_SHARE = 0.5;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The bucket of writes and deletions. */
    private final Buckets writes;

    /** The bucket of all other calls. */
    private final Buckets reads;

    /**
     * Creates a budget with full buckets.
     *
     * @param rates The rates.
     * @param clock The monotonic clock in nanoseconds.
     */
    CallBudget(CallRates rates, LongSupplier clock) {
        this.clock = clock;
        writes = new Buckets(rates.writesPerSecond(), clock.getAsLong());
        reads = new Buckets(rates.readsPerSecond(), clock.getAsLong());
    }

    /**
     * Changes the rates.
     *
     * @param rates The new rates.
     */
    synchronized void changeRates(CallRates rates) {
        writes.changeRate(rates.writesPerSecond(), clock.getAsLong());
        reads.changeRate(rates.readsPerSecond(), clock.getAsLong());
    }

    /**
     * Takes a token for one call if the limits allow it.
     *
     * @param purpose The purpose of the call.
     * @param changing Whether the call is a write or deletion.
     * @return {@code true} if the call may be made.
     */
    synchronized boolean tryAcquire(PlatformPurpose purpose, boolean changing) {
        return (changing ? writes : reads).tryAcquire(purpose, clock.getAsLong());
    }

    /** Discards the saved tokens above the reserve, so that the next ordinary calls are limited to the steady rate. */
    synchronized void drain() {
        long now = clock.getAsLong();
        writes.total.drain(URGENT_RESERVE, now);
        reads.total.drain(URGENT_RESERVE, now);
    }

    /** The buckets of one kind of call. */
    private static final class Buckets {

        /** The bucket that all purposes share. */
        private final TokenBucket total;

        /** The buckets that limit the purposes. The urgent purposes share one. */
        private final Map<PlatformPurpose, TokenBucket> shares = new EnumMap<>(PlatformPurpose.class);

        /**
         * Creates full buckets.
         *
         * @param perSecond The rate of all purposes together.
         * @param now The monotonic time in nanoseconds.
         */
        private Buckets(double perSecond, long now) {
            total = new TokenBucket(perSecond, now);
            TokenBucket urgent = new TokenBucket(perSecond * URGENT_SHARE, now);
            for (PlatformPurpose purpose : PlatformPurpose.values()) {
                boolean isUrgent = URGENT.contains(purpose);
                shares.put(purpose, isUrgent ? urgent : new TokenBucket(perSecond * PURPOSE_SHARE, now));
            }
        }

        /**
         * Changes the rate.
         *
         * @param perSecond The rate of all purposes together.
         * @param now The monotonic time in nanoseconds.
         */
        private void changeRate(double perSecond, long now) {
            total.changeRate(perSecond, now);
            shares.forEach((purpose, share) ->
                    share.changeRate(perSecond * (URGENT.contains(purpose) ? URGENT_SHARE : PURPOSE_SHARE), now));
        }

        /**
         * Takes a token for one call if the limits allow it.
         *
         * @param purpose The purpose of the call.
         * @param now The monotonic time in nanoseconds.
         * @return {@code true} if the call may be made.
         */
        private boolean tryAcquire(PlatformPurpose purpose, long now) {
            TokenBucket share = shares.get(purpose);
            double reserve = URGENT.contains(purpose) ? 0 : URGENT_RESERVE;
            if (!total.hasToken(reserve, now) || !share.hasToken(0, now)) {
                return false;
            }
            share.take();
            total.take();
            return true;
        }
    }
}
