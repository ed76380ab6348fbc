package io.yuccaswitch.testkit.engine;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** The options of the engine stand-in. */
public final class EngineOptions {

    /** The port to listen on, or zero for any free port. */
    @Parameter(names = "--port", description = "The port to listen on, zero for any free port.")
    public int port;

    /** The models that are loaded at startup, as {@code name=version}. */
    @Parameter(names = "--models", description = "The models loaded at the start, as name=version.")
    public List<String> models = new ArrayList<>(List.of("base=1"));

    /** The part of the iteration time that does not depend on the load. */
    @Parameter(names = "--iteration-base-micros", description = "Iteration time without requests.")
    public long iterationBaseMicros = 8_000;

    /** The iteration time that each active request adds. */
    @Parameter(names = "--iteration-request-micros", description = "Iteration time added by each request.")
    public long iterationRequestMicros = 250;

    /** The factor by which all iteration times are multiplied. */
    @Parameter(names = "--time-scale", description = "The factor by which all iteration times are multiplied.")
    public double timeScale = 1.0;

    /** The maximum number of requests in a batch. */
    @Parameter(names = "--capacity", description = "The number of requests in a batch.")
    public int capacity = 32;

    /** The maximum number of tokens of all active requests together. */
    @Parameter(names = "--token-budget", description = "The maximum tokens of all active requests.")
    public int tokenBudget = 200_000;

    /** The maximum number of waiting requests. */
    @Parameter(names = "--queue-length", description = "The maximum number of waiting requests.")
    public int queueLength = 256;

    /** The number of prompt tokens that one iteration processes. */
    @Parameter(names = "--prefill-tokens", description = "The prompt tokens that one iteration processes.")
    public int prefillTokens = 512;

    /** The median number of generated tokens. */
    @Parameter(names = "--median-tokens", description = "The median number of generated tokens.")
    public int medianTokens = 64;

    /** The share of requests that generate 10 to 30 times the median number of tokens. */
    @Parameter(names = "--straggler-share", description = "The share of requests of 10x to 30x the median.")
    public double stragglerShare = 0.02;

    /** The seed of the length distribution. */
    @Parameter(names = "--seed", description = "The seed of the length distribution.")
    public long seed = 1;

    /** The maximum number of cached prefixes. */
    @Parameter(names = "--cached-prefixes", description = "The maximum number of cached prefixes.")
    public int cachedPrefixes = 256;

    /** The share of cache events that are lost. */
    @Parameter(names = "--cache-event-loss", description = "The share of cache events that are lost.")
    public double cacheEventLoss = 0.05;

    /** The delay after which load reports and cache events become visible. */
    @Parameter(names = "--report-lag-millis", description = "The delay of load reports and cache events.")
    public long reportLagMillis = 200;

    /** Whether orders with an outdated fencing number are refused. */
    @Parameter(names = "--check-fencing", description = "Refuse orders with an outdated fencing number.")
    public boolean checkFencing;

    /** The address of the weight store, or an empty string to skip loading. */
    @Parameter(names = "--weight-store", description = "The weight store as host:port, none to skip loading.")
    public String weightStore = "";

    /** The duration of a weight swap after loading. */
    @Parameter(names = "--swap-millis", description = "The duration of a swap after loading.")
    public long swapMillis = 20;

    /** The name of the endpoint in its observations. */
    @Parameter(names = "--name", description = "The name of the endpoint in its observations.")
    public String name = "";

    /** The file to which the observations of runs are written. */
    @Parameter(names = "--observations", description = "The file to which the observations of runs are written.")
    public String observations = "";
}
