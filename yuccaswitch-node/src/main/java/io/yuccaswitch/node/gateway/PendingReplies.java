package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.batch.BatchAnswer;
import io.yuccaswitch.core.batch.BatchEffect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongFunction;

/** Calls about batch jobs that wait for the core's answer. */
final class PendingReplies implements AutoCloseable {

    /** The scheduler on which answers are written, so that the core does not wait for callers. */
    private static final Scheduler ANSWER_SCHEDULER = Schedulers.io();

    /** The core. */
    private final DecisionLoop loop;

    /** The ticket of the latest call. */
    private final AtomicLong tickets = new AtomicLong();

    /** The calls, by their tickets. */
    private final Map<Long, CompletableFuture<BatchAnswer>> pending = new ConcurrentHashMap<>();

    /** The subscription to answers. */
    private final Disposable subscription;

    /**
     * Creates a table without calls and connects it to the core.
     *
     * @param loop The core.
     */
    PendingReplies(DecisionLoop loop) {
        this.loop = loop;
        subscription = loop.effects(BatchEffect.Reply.class).subscribe(this::complete);
    }

    /**
     * Sends a call to the core.
     *
     * @param call Builds the call from its ticket.
     * @param timeout The time within which the core must answer.
     * @return The answer, completed on a thread that may block on the caller.
     */
    CompletableFuture<BatchAnswer> request(LongFunction<Event> call, Duration timeout) {
        long ticket = tickets.incrementAndGet();
        CompletableFuture<BatchAnswer> answer = new CompletableFuture<>();
        pending.put(ticket, answer);
        loop.accept(call.apply(ticket));
        BatchAnswer timedOut = new BatchAnswer.Unsure("the core did not answer");
        return answer.completeOnTimeout(timedOut, timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((_answer, _failure) -> pending.remove(ticket))
                .thenApplyAsync(Function.identity(), ANSWER_SCHEDULER::scheduleDirect);
    }

    /**
     * Returns the number of calls that wait for an answer.
     *
     * @return The number.
     */
    int size() {
        return pending.size();
    }

    @Override
    public void close() {
        subscription.dispose();
    }

    /**
     * Completes a call with its answer.
     *
     * @param reply The answer.
     */
    private void complete(BatchEffect.Reply reply) {
        CompletableFuture<BatchAnswer> answer = pending.remove(reply.ticket());
        if (answer != null) {
            answer.complete(reply.answer());
        }
    }
}
