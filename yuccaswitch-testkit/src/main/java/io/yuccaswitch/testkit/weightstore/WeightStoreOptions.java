package io.yuccaswitch.testkit.weightstore;

import com.beust.jcommander.Parameter;

/** The options of the weight-store stand-in. */
public final class WeightStoreOptions {

    /** The port to listen on, or zero for any free port. */
    @Parameter(names = "--port", description = "The port to listen on, zero for any free port.")
    public int port;

    /** The number of bytes per second that the store sends to all readers together. */
    @Parameter(names = "--bytes-per-second", description = "The bytes per second for all readers together.")
    public long bytesPerSecond = 50_000_000;

    /** The size of the weights in bytes. */
    @Parameter(names = "--weight-bytes", description = "The size of the weights in bytes.")
    public long weightBytes = 2_000_000;
}
