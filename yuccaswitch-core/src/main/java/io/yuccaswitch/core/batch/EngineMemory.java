package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.EngineTerms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * The tokens that items occupy in the memory of each engine: the prompts, those of a group once, and the expected whole
 * outputs of this node's items, and the sums that other nodes report. It addresses engines that preempt runs when a few
 * long outputs use up the memory although slots are free. The sums are derived from the running items, so an attempt
 * that ends for any reason no longer counts.
 */
final class EngineMemory {

    /** The tokens per second that one run makes, until the first reading: 20.6 events of 77 tokens. */
    private static final double INITIAL_TOKENS_PER_SECOND = 1586;

    /** The tables of the batch system. */
    private final BatchState state;

    /** The items of this node at each engine, when they were last collected. */
    private Map<EndpointName, Usage> usages = Map.of();

    /** The number of starts and ends of items when the items were last collected. */
    private long collectedChanges = -1;

    /** The revision of the length estimates when the items were last collected. */
    private long collectedRevision = -1;

    /** The mean tokens per second of one run. */
    private double tokensPerSecond = INITIAL_TOKENS_PER_SECOND;

    /**
     * Creates a view of the tables.
     *
     * @param state The tables of the batch system.
     */
    EngineMemory(BatchState state) {
        this.state = state;
    }

    /**
     * Returns the memory of each engine of a pool.
     *
     * @param pool The pool.
     * @return The number of tokens, or 0 if it is unknown.
     */
    long capacity(PoolName pool) {
        return terms(pool).memoryTokens();
    }

    /**
     * Returns the tokens that are expected to be occupied at an engine by the items of this node and of others.
     *
     * @param engine The engine.
     * @return The number of tokens.
     */
    long occupied(EndpointName engine) {
        return usage(engine).expected() + state.remoteLoads().tokens(engine);
    }

    /**
     * Returns the tokens by which an item would exceed the memory of an engine.
     *
     * @param job The job.
     * @param item The item.
     * @param engine The engine.
     * @return The number of tokens, which is 0 or less if the engine has room.
     */
    long excess(RunningJob job, RunningItem item, RegisteredEndpoint engine) {
        return occupied(engine.name()) + need(job, item, engine) - capacity(engine.pool());
    }

    /**
     * Returns whether an engine has room for an item.
     *
     * @param job The job.
     * @param item The item.
     * @param engine The engine.
     * @return {@code true} if the engine has room or its memory is unknown.
     */
    boolean fits(RunningJob job, RunningItem item, RegisteredEndpoint engine) {
        return capacity(engine.pool()) == 0 || excess(job, item, engine) <= 0;
    }

    /**
     * Returns the tokens that an item would add at an engine.
     *
     * @param job The job.
     * @param item The item.
     * @param engine The engine.
     * @return The whole output, and the prompt unless an item of the group runs there.
     */
    long need(RunningJob job, RunningItem item, RegisteredEndpoint engine) {
        boolean sharesPrompt = usage(engine.name()).runs().stream().anyMatch(run -> run.hasGroup(job, item.item()));
        return expected(job, item, engine.pool())
                + (sharesPrompt ? 0 : item.item().promptTokens());
    }

    /**
     * Returns the expected whole output of an item.
     *
     * @param job The job.
     * @param item The item.
     * @param pool The pool whose engines run it.
     * @return The number of tokens.
     */
    long expected(RunningJob job, RunningItem item, PoolName pool) {
        long made = made(item, pool);
        return item.expectedLength(made, state.lengths().revision(), () -> state.lengths()
                .expected(job.job(), job.lengthHints(), item.item(), made));
    }

    /**
     * Returns the sums of this node's items.
     *
     * @return The tokens by engine, for engines whose memory is known.
     */
    Map<EndpointName, Long> ownTokens() {
        Map<EndpointName, Long> tokens = new HashMap<>();
        usages().forEach((engine, usage) -> {
            if (capacity(engine.pool()) > 0) {
                tokens.put(engine, usage.expected());
            }
        });
        return tokens;
    }

    /**
     * Returns the items of this node at each engine.
     *
     * @return The usages, for engines with at least one item.
     */
    Map<EndpointName, Usage> usages() {
        if (collectedChanges != state.loads().changeCount()
                || collectedRevision != state.lengths().revision()) {
            collectedChanges = state.loads().changeCount();
            collectedRevision = state.lengths().revision();
            collect();
        }
        return usages;
    }

    /**
     * Returns the items of this node at an engine.
     *
     * @param engine The engine.
     * @return The usage.
     */
    Usage usage(EndpointName engine) {
        return usages().getOrDefault(engine, Usage.NONE);
    }

    /**
     * Returns the mean speed of one run.
     *
     * @return The tokens per second.
     */
    double tokensPerSecond() {
        usages();
        return tokensPerSecond;
    }

    /**
     * Describes an engine for logs.
     *
     * @param engine The engine.
     * @return The tokens of this node and of others, the number of nodes whose reports are valid, and the memory.
     */
    String describe(EndpointName engine) {
        return "own " + usage(engine).expected() + " reported "
                + state.remoteLoads().tokens(engine) + " by "
                + state.remoteLoads().nodes().size() + " nodes of " + capacity(engine.pool()) + " tokens";
    }

    /** Collects the items of this node. */
    private void collect() {
        Map<EndpointName, List<Run>> runs = new HashMap<>();
        double sum = 0;
        int count = 0;
        for (RunningJob job : state.running().view()) {
            for (RunningItem item : job.items()) {
                if (item.endpoint().isPresent()) {
                    EndpointName engine = item.endpoint().get();
                    PoolName pool = engine.pool();
                    double rate = item.eventsPerSecond() * terms(pool).tokensPerEvent();
                    runs.computeIfAbsent(engine, _engine -> new ArrayList<>())
                            .add(new Run(job, item, made(item, pool), expected(job, item, pool), rate));
                    sum += rate;
                    count += rate > 0 ? 1 : 0;
                }
            }
        }
        tokensPerSecond = count > 0 ? sum / count : tokensPerSecond;
        Map<EndpointName, Usage> collected = new HashMap<>();
        runs.forEach((engine, list) -> collected.put(engine, new Usage(list, sum(list, Run::expected))));
        usages = collected;
    }

    /**
     * Adds the tokens of runs and their prompts, those of a group once.
     *
     * @param runs The runs.
     * @param output The tokens of a run's output.
     * @return The number of tokens.
     */
    static long sum(List<Run> runs, ToLongFunction<Run> output) {
        Set<List<Object>> groups = new HashSet<>();
        long tokens = 0;
        for (Run run : runs) {
            BatchItem item = run.item().item();
            tokens += output.applyAsLong(run);
            tokens += groups.add(List.of(run.job().job().id(), item.group())) ? item.promptTokens() : 0;
        }
        return tokens;
    }

    /**
     * Returns the output of an item so far.
     *
     * @param item The item.
     * @param pool The pool whose engines run it.
     * @return The number of tokens.
     */
    private long made(RunningItem item, PoolName pool) {
        return tokens(item.receivedEvents(), pool);
    }

    /**
     * Returns the length of an output.
     *
     * @param events The number of its events.
     * @param pool The pool whose engines made it.
     * @return The number of tokens.
     */
    long tokens(long events, PoolName pool) {
        return events * terms(pool).tokensPerEvent();
    }

    /**
     * Returns the terms of the engines of a pool.
     *
     * @param pool The pool.
     * @return The terms.
     */
    private EngineTerms terms(PoolName pool) {
        return state.routes()
                .active()
                .map(configuration -> configuration.engines(pool))
                .orElse(EngineTerms.UNKNOWN);
    }

    /**
     * The items of this node at an engine.
     *
     * @param runs The runs in progress.
     * @param expected The tokens that they are expected to occupy when their outputs are whole.
     */
    record Usage(List<Run> runs, long expected) {

        /** The usage of an engine at which this node runs nothing. */
        static final Usage NONE = new Usage(List.of(), 0);
    }

    /**
     * An item in progress.
     *
     * @param job The job.
     * @param item The item.
     * @param made The tokens of its output so far.
     * @param expected The tokens of its whole output.
     * @param measuredRate The tokens per second that the attempt made so far, or 0 before its first reading.
     */
    record Run(RunningJob job, RunningItem item, long made, long expected, double measuredRate) {

        /**
         * Returns whether the run has the group, and so the prompt, of an item.
         *
         * @param otherJob The item's job.
         * @param other The item.
         * @return {@code true} if it does.
         */
        boolean hasGroup(RunningJob otherJob, BatchItem other) {
            return job == otherJob && item.item().group().equals(other.group());
        }

        /**
         * Returns the rate of the run.
         *
         * @param usual The usual rate, which applies before the first reading.
         * @return The tokens per second.
         */
        double rate(double usual) {
            return measuredRate > 0 ? measuredRate : usual;
        }

        /**
         * Returns the expected output after a time.
         *
         * @param seconds The time.
         * @param usualRate The usual tokens per second, which apply before the first reading.
         * @return The number of tokens.
         */
        long projected(double seconds, double usualRate) {
            return Math.min(expected, made + (long) (rate(usualRate) * seconds));
        }

        /**
         * Returns the time until the output is expected to be whole.
         *
         * @param usualRate The usual tokens per second, which apply before the first reading.
         * @return The time in seconds.
         */
        double remainingSeconds(double usualRate) {
            return (expected - made) / Math.max(1, rate(usualRate));
        }
    }
}
