package io.yuccaswitch.platform;

import java.util.concurrent.TimeUnit;

/** A token bucket that refills at a constant rate. It is not thread-safe. */
final class TokenBucket {

    /** The number of tokens added per second. */
    private double tokensPerSecond;

    /** The maximum number of tokens. */
    private double capacity;

    /** The number of tokens at {@link #updatedAt}. */
    private double tokens;

    /** The monotonic time in nanoseconds at which {@link #tokens} was updated. */
    private long updatedAt;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerSecond The number of tokens added per second. The capacity is that of one second, but at least
     *     one token.
     * @param now The monotonic time in nanoseconds.
     */
    TokenBucket(double tokensPerSecond, long now) {
        this.tokensPerSecond = tokensPerSecond;
        capacity = Math.max(1, tokensPerSecond);
        tokens = capacity;
        updatedAt = now;
    }

    /**
     * Changes the rate. Tokens that exceed the new capacity are discarded.
     *
     * @param newTokensPerSecond The number of tokens added per second.
     * @param now The monotonic time in nanoseconds.
     */
    void changeRate(double newTokensPerSecond, long now) {
        refill(now);
        tokensPerSecond = newTokensPerSecond;
        capacity = Math.max(1, newTokensPerSecond);
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Returns whether a token can be taken.
     *
     * @param reserve The share of the capacity that must remain.
     * @param now The monotonic time in nanoseconds.
     * @return {@code true} if a token can be taken.
     */
    boolean hasToken(double reserve, long now) {
        refill(now);
        return tokens >= 1 && tokens - 1 >= Math.floor(capacity * reserve);
    }

    /** Takes a token. The caller must have checked {@link #hasToken} first. */
    void take() {
        tokens--;
    }

    /**
     * Discards saved tokens.
     *
     * @param remaining The maximum share of the capacity that remains.
     * @param now The monotonic time in nanoseconds.
     */
    void drain(double remaining, long now) {
        refill(now);
        tokens = Math.min(tokens, capacity * remaining);
    }

    /**
     * Adds the tokens for the time since the last update.
     *
     * @param now The monotonic time in nanoseconds.
     */
    private void refill(long now) {
        double added = tokensPerSecond * (now - updatedAt) / TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(capacity, tokens + added);
        updatedAt = now;
    }
}
