package io.yuccaswitch.core.platform;

/** Hands out the tokens of calls to the platform, such that the systems of one core never use the same one. */
public final class PlatformTokens {

    /** The token that was handed out last. */
    private long last;

    /**
     * Returns a token that was not handed out before.
     *
     * @return The token.
     */
    public long next() {
        return ++last;
    }
}
