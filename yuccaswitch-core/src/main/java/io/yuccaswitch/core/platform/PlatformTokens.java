package io.yuccaswitch.core.platform;

/** Allocates the tokens of calls to the platform, which are unique among the systems of one core. */
public final class PlatformTokens {

    /** The token that was allocated last. */
    private long lastToken;

    /**
     * Returns a token that was not allocated before.
     *
     * @return The token.
     */
    public long next() {
        return ++lastToken;
    }
}
