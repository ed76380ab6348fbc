package io.yuccaswitch.testkit.weightstore;

import com.beust.jcommander.Parameter;

/** The options of the weight store stand-in. */
public final class WeightStoreOptions {

    /** The port to listen on. */
    @Parameter(names = "--port", description = "The port to listen on, zero for any.")
    public int port;

    /** The bytes that the store gives in a second over all readers. */
    @Parameter(names = "--bytes-per-second", description = "The bytes a second over all readers.")
    public long bytesPerSecond = 50_000_000;

    /** The size of the weights. */
    @Parameter(names = "--weight-bytes", description = "The size of the weights.")
    public long weightBytes = 2_000_000;
}
