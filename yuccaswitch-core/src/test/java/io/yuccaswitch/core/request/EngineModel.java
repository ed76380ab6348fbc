package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.PriorityClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A model of an engine with continuous batching: an iteration takes a fixed time plus a time per active request, and
 * generates one token for each active request. Requests beyond the capacity wait in the order of their priority.
 */
final class EngineModel {

    private final double baseSeconds;
    private final double requestSeconds;
    private final int capacity;
    private final List<Job> active = new ArrayList<>();
    private final PriorityQueue<Job> waiting =
            new PriorityQueue<>(Comparator.comparing((Job job) -> job.priority, Comparator.reverseOrder())
                    .thenComparingDouble(job -> job.sentAt));
    private final Deque<State> history = new ArrayDeque<>();

    /**
     * Creates a model. If the time per request is zero, the model is a plain service, which serves requests in the
     * order of arrival.
     */
    EngineModel(double baseSeconds, double requestSeconds, int capacity) {
        this.baseSeconds = baseSeconds;
        this.requestSeconds = requestSeconds;
        this.capacity = capacity;
    }

    void submit(Job job) {
        waiting.add(requestSeconds > 0 ? job : job.withoutPriority());
    }

    void cancel(int node, int attempt) {
        active.removeIf(job -> job.node == node && job.attempt == attempt);
        waiting.removeIf(job -> job.node == node && job.attempt == attempt);
    }

    /** Advances the model by a step and returns the jobs that finished. */
    List<Job> step(double now, double seconds) {
        while (active.size() < capacity && !waiting.isEmpty()) {
            active.add(waiting.poll());
        }
        double iteration = baseSeconds + requestSeconds * active.size();
        List<Job> ended = new ArrayList<>();
        for (Iterator<Job> jobs = active.iterator(); jobs.hasNext(); ) {
            Job job = jobs.next();
            job.progress += seconds / iteration;
            if (job.firstTokenAt < 0 && job.progress >= job.prefill + 1) {
                job.firstTokenAt = now;
            }
            if (job.progress >= job.prefill + job.tokens) {
                ended.add(job);
                jobs.remove();
            }
        }
        history.addLast(new State(now, active.size(), waiting.size()));
        while (history.size() > 1 && history.peekFirst().at() < now - 5) {
            history.removeFirst();
        }
        return ended;
    }

    /** Returns the latest recorded state that is not after a time, or else the oldest one. */
    State stateAt(double time) {
        State found = history.isEmpty() ? new State(0, 0, 0) : history.peekFirst();
        for (Iterator<State> states = history.descendingIterator(); states.hasNext(); ) {
            State state = states.next();
            if (state.at() <= time) {
                return state;
            }
        }
        return found;
    }

    int capacity() {
        return capacity;
    }

    record State(double at, int active, int waiting) {}

    /** A request at the engine. */
    static final class Job {
        final int node;
        final RequestId id;
        final int attempt;
        final double sentAt;
        final PriorityClass priority;
        final double prefill;
        final int tokens;
        double progress;
        double firstTokenAt = -1;

        Job withoutPriority() {
            return new Job(node, id, attempt, sentAt, PriorityClass.NORMAL, prefill, tokens);
        }

        Job(int node, RequestId id, int attempt, double sentAt, PriorityClass priority, double prefill, int tokens) {
            this.node = node;
            this.id = id;
            this.attempt = attempt;
            this.sentAt = sentAt;
            this.priority = priority;
            this.prefill = prefill;
            this.tokens = tokens;
        }
    }
}
