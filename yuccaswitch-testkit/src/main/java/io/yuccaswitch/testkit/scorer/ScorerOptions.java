package io.yuccaswitch.testkit.scorer;

import com.beust.jcommander.Parameter;

/** The options of the scorer stand-in. */
public final class ScorerOptions {

    /** The port to listen on, or zero for any free port. */
    @Parameter(names = "--port", description = "The port to listen on, zero for any free port.")
    public int port;

    /** The duration of scoring a sample. */
    @Parameter(names = "--score-millis", description = "The duration of scoring a sample.")
    public long scoreMillis = 2;

    /** Whether a sample may be scored only once. */
    @Parameter(names = "--repeat-forbidden", description = "Count a second call for a sample as a breach.")
    public boolean repeatForbidden;
}
