package io.yuccaswitch.testkit.service;

import com.beust.jcommander.Parameter;

/** The options of the stand-in of a plain service. */
public final class ServiceOptions {

    /** The port to listen on. */
    @Parameter(names = "--port", description = "The port to listen on, zero for any.")
    public int port;

    /** The time that a request takes. */
    @Parameter(names = "--service-millis", description = "The time that a request takes.")
    public long serviceMillis = 5;

    /** The number of requests that run at the same time. */
    @Parameter(names = "--capacity", description = "The number of requests that run at the same time.")
    public int capacity = 32;

    /** Whether the service can say what became of a request. */
    @Parameter(names = "--settles-requests", description = "Answer GET /requests/{id}.")
    public boolean settlesRequests;

    /** The name of the endpoint in its observations. */
    @Parameter(names = "--name", description = "The name of the endpoint in its observations.")
    public String name = "";

    /** The file that takes the observations of runs. */
    @Parameter(names = "--observations", description = "The file that takes the observations of runs.")
    public String observations = "";
}
