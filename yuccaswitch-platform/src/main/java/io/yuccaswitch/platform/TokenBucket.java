package io.yuccaswitch.platform;

import java.util.concurrent.TimeUnit;

/** A bucket that fills at a rate and from which calls take tokens. It is not safe for use by several threads. */
final class TokenBucket {

    /** The tokens earned each second. */
    private double perSecond;

    /** The largest number of tokens. */
    private double capacity;

    /** The tokens at {@link #updatedAt}. */
    private double tokens;

    /** The time in nanoseconds for which {@link #tokens} holds. */
    private long updatedAt;

    /**
     * Creates a full bucket.
     *
     * @param perSecond The tokens earned each second, of which one second's worth can be saved.
     * @param now The time in nanoseconds.
     */
    TokenBucket(double perSecond, long now) {
        this.perSecond = perSecond;
        capacity = Math.max(1, perSecond);
        tokens = capacity;
        updatedAt = now;
    }

    /**
     * Changes the rate. Tokens that exceed the new capacity are lost.
     *
     * @param newPerSecond The tokens earned each second.
     * @param now The time in nanoseconds.
     */
    void changeRate(double newPerSecond, long now) {
        fill(now);
        perSecond = newPerSecond;
        capacity = Math.max(1, newPerSecond);
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Returns whether a token could be taken.
     *
     * @param reserve The share of the capacity that must remain.
     * @param now The time in nanoseconds.
     * @return {@code true} if a token could be taken.
     */
    boolean has(double reserve, long now) {
        fill(now);
        return tokens >= 1 && tokens - 1 >= Math.floor(capacity * reserve);
    }

    /** Takes a token, after {@link #has} found one. */
    void take() {
        tokens--;
    }

    /**
     * Drops what was saved.
     *
     * @param remaining The share of the capacity that may remain.
     * @param now The time in nanoseconds.
     */
    void drain(double remaining, long now) {
        fill(now);
        tokens = Math.min(tokens, capacity * remaining);
    }

    /**
     * Adds the tokens earned since the last time.
     *
     * @param now The time in nanoseconds.
     */
    private void fill(long now) {
        double earned = perSecond * (now - updatedAt) / TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(capacity, tokens + earned);
        updatedAt = now;
    }
}
