package io.yuccaswitch.testkit.scorer;

import com.beust.jcommander.Parameter;

/** The options of the scorer stand-in. */
public final class ScorerOptions {

    /** The port to listen on. */
    @Parameter(names = "--port", description = "The port to listen on, zero for any.")
    public int port;

    /** The time that a score takes. */
    @Parameter(names = "--score-millis", description = "The time that a score takes.")
    public long scoreMillis = 2;

    /** Whether a sample may be scored only once. */
    @Parameter(names = "--repeat-forbidden", description = "Count a second call for a sample as a breach.")
    public boolean repeatForbidden;
}
