package io.yuccaswitch.testkit.engine;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** The options of the engine stand-in. */
public final class EngineOptions {

    /** The port to listen on. */
    @Parameter(names = "--port", description = "The port to listen on, zero for any.")
    public int port;

    /** The models that are loaded at the start. */
    @Parameter(names = "--models", description = "The models loaded at the start, as name=version.")
    public List<String> models = new ArrayList<>(List.of("base=1"));

    /** The part of an iteration's time that does not depend on the load. */
    @Parameter(names = "--iteration-base-micros", description = "Iteration time without requests.")
    public long iterationBaseMicros = 8_000;

    /** The part of an iteration's time that each active request adds. */
    @Parameter(names = "--iteration-request-micros", description = "Iteration time added by each request.")
    public long iterationRequestMicros = 250;

    /** The factor on all iteration times. */
    @Parameter(names = "--time-scale", description = "The factor on all iteration times.")
    public double timeScale = 1.0;

    /** The number of requests that are generated for at the same time. */
    @Parameter(names = "--capacity", description = "The number of requests in a batch.")
    public int capacity = 32;

    /** The number of tokens that the active requests may hold together. */
    @Parameter(names = "--token-budget", description = "The tokens that active requests may hold together.")
    public int tokenBudget = 200_000;

    /** The number of requests that may wait. */
    @Parameter(names = "--queue-length", description = "The number of requests that may wait.")
    public int queueLength = 256;

    /** The number of prompt tokens that one iteration reads. */
    @Parameter(names = "--prefill-tokens", description = "The prompt tokens that one iteration reads.")
    public int prefillTokens = 512;

    /** The median number of generated tokens. */
    @Parameter(names = "--median-tokens", description = "The median number of generated tokens.")
    public int medianTokens = 64;

    /** The share of requests that run for 10 to 30 times the median. */
    @Parameter(names = "--straggler-share", description = "The share of requests of 10x to 30x the median.")
    public double stragglerShare = 0.02;

    /** The seed of the lengths. */
    @Parameter(names = "--seed", description = "The seed of the lengths.")
    public long seed = 1;

    /** The number of prefixes that the cache keeps. */
    @Parameter(names = "--cached-prefixes", description = "The number of prefixes that the cache keeps.")
    public int cachedPrefixes = 256;

    /** The share of cache events that are lost. */
    @Parameter(names = "--cache-event-loss", description = "The share of cache events that are lost.")
    public double cacheEventLoss = 0.05;

    /** The lag of load reports and cache events. */
    @Parameter(names = "--report-lag-millis", description = "The lag of load reports and cache events.")
    public long reportLagMillis = 200;

    /** Whether orders with an old fencing number are refused. */
    @Parameter(names = "--check-fencing", description = "Refuse orders with an old fencing number.")
    public boolean checkFencing;

    /** The address of the weight store. */
    @Parameter(names = "--weight-store", description = "The weight store as host:port, none to load at once.")
    public String weightStore = "";

    /** The time that a swap of weights takes after loading. */
    @Parameter(names = "--swap-millis", description = "The time of a swap after loading.")
    public long swapMillis = 20;

    /** The name of the endpoint in its observations. */
    @Parameter(names = "--name", description = "The name of the endpoint in its observations.")
    public String name = "";

    /** The file that takes the observations of runs. */
    @Parameter(names = "--observations", description = "The file that takes the observations of runs.")
    public String observations = "";
}
