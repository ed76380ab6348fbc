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

    /** Where answers are written, such that the core does not wait for callers. */
    private static final Scheduler ANSWERING = Schedulers.io();

    /** The core. */
    private final DecisionLoop loop;

    /** The last ticket. */
    private final AtomicLong tickets = new AtomicLong();

    /** The calls, by their tickets. */
    private final Map<Long, CompletableFuture<BatchAnswer>> waiting = new ConcurrentHashMap<>();

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
     * Asks the core.
     *
     * @param call Builds the call from its ticket.
     * @param limit How long the core may take.
     * @return The answer, on a thread that may wait for the caller.
     */
    CompletableFuture<BatchAnswer> ask(LongFunction<Event> call, Duration limit) {
        long ticket = tickets.incrementAndGet();
        CompletableFuture<BatchAnswer> answer = new CompletableFuture<>();
        waiting.put(ticket, answer);
        loop.accept(call.apply(ticket));
        BatchAnswer tooLate = new BatchAnswer.Unsure("the core did not answer");
        return answer.completeOnTimeout(tooLate, limit.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((_answer, _failure) -> waiting.remove(ticket))
                .thenApplyAsync(Function.identity(), ANSWERING::scheduleDirect);
    }

    /**
     * Returns the number of calls that wait.
     *
     * @return The number.
     */
    int size() {
        return waiting.size();
    }

    @Override
    public void close() {
        subscription.dispose();
    }

    /**
     * Answers a call.
     *
     * @param reply The answer.
     */
    private void complete(BatchEffect.Reply reply) {
        CompletableFuture<BatchAnswer> answer = waiting.remove(reply.ticket());
        if (answer != null) {
            answer.complete(reply.answer());
        }
    }
}
