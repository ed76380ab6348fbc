package io.yuccaswitch.testkit.service;

import com.beust.jcommander.Parameter;

/** The options of the stand-in for a plain service. */
public final class ServiceOptions {

    /** The port to listen on, or zero for any free port. */
    @Parameter(names = "--port", description = "The port to listen on, zero for any free port.")
    public int port;

    /** The duration of running a request. */
    @Parameter(names = "--service-millis", description = "The duration of running a request.")
    public long serviceMillis = 5;

    /** The maximum number of requests that run concurrently. */
    @Parameter(names = "--capacity", description = "The maximum number of requests that run concurrently.")
    public int capacity = 32;

    /** Whether the service can report the outcome of a request. */
    @Parameter(names = "--settles-requests", description = "Answer GET /requests/{id}.")
    public boolean settlesRequests;

    /** The name of the endpoint in its observations. */
    @Parameter(names = "--name", description = "The name of the endpoint in its observations.")
    public String name = "";

    /** The file to which the observations of runs are written. */
    @Parameter(names = "--observations", description = "The file to which the observations of runs are written.")
    public String observations = "";
}
