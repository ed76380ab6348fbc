package io.yuccaswitch.core.route;

/**
 * What the configuration says of the engines of a pool.
 *
 * @param memoryTokens The number of tokens that the running requests of an engine may occupy together, or 0 if it is
 *     unknown.
 * @param tokensPerEvent The number of tokens that one event of a stream contains.
 */
public record EngineTerms(long memoryTokens, int tokensPerEvent) {

    /** The terms of a pool of which the configuration says nothing. */
    public static final EngineTerms UNKNOWN = new EngineTerms(0, 1);

    /** Validates the numbers. */
    public EngineTerms {
        if (memoryTokens < 0 || tokensPerEvent < 1) {
            throw new IllegalArgumentException("Invalid engine terms: memory " + memoryTokens + " tokens, "
                    + tokensPerEvent + " tokens per event");
        }
    }
}
