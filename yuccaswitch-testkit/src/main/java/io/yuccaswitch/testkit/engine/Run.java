package io.yuccaswitch.testkit.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Pattern;

/**
 * The execution of one request. The thread of the batch generates its output, and the thread of the request reads it.
 */
final class Run implements Comparable<Run> {

    /** The suffix that a wire identifier adds to the request identifier: the number of the attempt. */
    private static final Pattern ATTEMPT_SUFFIX = Pattern.compile("~\\d+$");

    /** The identifier that the request carried, which identifies the attempt. */
    private final String wireId;

    /** The model or adapter. */
    private final String model;

    /** The prompt. */
    private final Prompt prompt;

    /** The priority, where smaller numbers are served first. */
    private final int priority;

    /** The order of arrival among runs of the same priority. */
    private final long arrival;

    /** The index of the first token of this run. */
    private final int firstIndex;

    /** The number of tokens of the complete text. */
    private final int totalTokens;

    /** The time of arrival, in milliseconds since the epoch. */
    private final long startMillis = System.currentTimeMillis();

    /** The generated tokens that are still to be read. */
    private final BlockingQueue<Token> output = new LinkedBlockingQueue<>();

    /** The generated tokens as segments of equal weight version. */
    private final List<Segment> segments = new ArrayList<>();

    /** The index of the next token. */
    private int nextIndex;

    /** The remaining number of iterations for processing the prompt. */
    private int prefillIterations;

    /** Whether the run was cancelled. */
    private volatile boolean cancelled;

    /** The time of the end, in milliseconds since the epoch, or zero before the end. */
    private volatile long endMillis;

    /**
     * Creates a run.
     *
     * @param wireId The identifier that the request carried.
     * @param model The model or adapter.
     * @param prompt The prompt.
     * @param priority The priority, where smaller numbers are served first.
     * @param arrival The order of arrival.
     * @param firstIndex The index of the first token.
     * @param totalTokens The number of tokens of the complete text.
     * @param prefillIterations The number of iterations for processing the prompt.
     */
    Run(
            String wireId,
            String model,
            Prompt prompt,
            int priority,
            long arrival,
            int firstIndex,
            int totalTokens,
            int prefillIterations) {
        this.wireId = wireId;
        this.model = model;
        this.prompt = prompt;
        this.priority = priority;
        this.arrival = arrival;
        this.firstIndex = firstIndex;
        this.totalTokens = totalTokens;
        this.prefillIterations = prefillIterations;
        nextIndex = firstIndex;
    }

    /**
     * Returns the identifier of the request.
     *
     * @return The identifier.
     */
    String requestId() {
        return ATTEMPT_SUFFIX.matcher(wireId).replaceFirst("");
    }

    /**
     * Returns the identifier that the request carried.
     *
     * @return The identifier, which is unique for each attempt.
     */
    String wireId() {
        return wireId;
    }

    /**
     * Returns the model or adapter.
     *
     * @return The model's name.
     */
    String model() {
        return model;
    }

    /**
     * Returns the prompt.
     *
     * @return The prompt.
     */
    Prompt prompt() {
        return prompt;
    }

    /**
     * Returns the generated tokens that are still to be read.
     *
     * @return The queue of tokens.
     */
    BlockingQueue<Token> output() {
        return output;
    }

    /**
     * Returns the number of tokens that this run holds in memory.
     *
     * @return The number of tokens of the prompt and of the text so far.
     */
    synchronized int heldTokens() {
        return prompt.tokens() + nextIndex;
    }

    /** Cancels the run, because no reader waits for it any longer. */
    void cancel() {
        cancelled = true;
        output.add(Token.CANCELLED);
    }

    /**
     * Returns whether the run was cancelled.
     *
     * @return {@code true} if the run was cancelled.
     */
    boolean cancelled() {
        return cancelled;
    }

    /**
     * Returns whether all tokens were generated.
     *
     * @return {@code true} if the text is complete.
     */
    synchronized boolean complete() {
        return nextIndex >= totalTokens;
    }

    /**
     * Executes one iteration: processes a part of the prompt or generates one token.
     *
     * @param version The weight version in use.
     */
    synchronized void iterate(long version) {
        if (prefillIterations > 0) {
            prefillIterations--;
            return;
        }
        if (nextIndex < totalTokens) {
            addToSegments(version);
            output.add(new Token(nextIndex, version));
            nextIndex++;
        }
    }

    /** Marks the end of the run. */
    void end() {
        endMillis = System.currentTimeMillis();
        output.add(Token.END);
    }

    /**
     * Returns the segments that were generated so far.
     *
     * @return A copy of the segments.
     */
    synchronized List<Segment> segments() {
        return List.copyOf(segments);
    }

    /**
     * Returns the record of the work that was actually done so far.
     *
     * @return The record.
     */
    synchronized RunRecord record() {
        return new RunRecord(
                requestId(),
                model,
                prompt.hash(),
                firstIndex,
                List.copyOf(segments),
                startMillis,
                endMillis,
                complete() && endMillis > 0);
    }

    /** {@inheritDoc} */
    @Override
    @SuppressWarnings("ComparableType")
    public int compareTo(Run other) {
        int byPriority = Integer.compare(priority, other.priority);
        return byPriority != 0 ? byPriority : Long.compare(arrival, other.arrival);
    }

    /**
     * Adds a token to the segments.
     *
     * @param version The version that generated it.
     */
    private void addToSegments(long version) {
        int last = segments.size() - 1;
        if (last >= 0 && segments.get(last).version() == version) {
            segments.set(last, new Segment(version, segments.get(last).tokens() + 1));
        } else {
            segments.add(new Segment(version, 1));
        }
    }

    /**
     * A generated token.
     *
     * @param index The index in the complete text.
     * @param version The weight version that generated it.
     */
    record Token(int index, long version) {

        /** Marks the end of the text. */
        static final Token END = new Token(-1, 0);

        /** Marks that the run was cancelled. */
        static final Token CANCELLED = new Token(-2, 0);

        /**
         * Formats this token.
         *
         * @return The text, from which index and version can be parsed.
         */
        String text() {
            return "t" + index + "v" + version + " ";
        }
    }
}
