package io.yuccaswitch.node.gateway;

import com.codahale.metrics.MetricRegistry;
import io.javalin.http.Context;
import io.yuccaswitch.core.batch.BatchAnswer;
import io.yuccaswitch.core.batch.BatchEvent;
import io.yuccaswitch.core.batch.BatchJob;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.jboss.logging.Logger;

/** Serves calls about batch jobs. */
final class BatchHandler {

    /** The status of a job that is accepted. */
    private static final int ACCEPTED = 202;

    /** The status of an identifier that belongs to other work. */
    private static final int CONFLICT = 409;

    /** The status of a job or item that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a call of which the node can't be sure; it promises that nothing ran. */
    private static final int UNAVAILABLE = 503;

    /** The status of a submission or an end that may have taken effect. */
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * The longest time for a call that does not wait for results. Callers repeat what is not answered at another node,
     * so they have to be told soon.
     */
    private static final Duration CALL_TIME = Duration.ofSeconds(2);

    /** How long a call for results may take beyond the time for which it waits for them. */
    private static final Duration READ_TIME = Duration.ofSeconds(1);

    /** How late the core may be in answering at the deadline: its longest pause between two ticks, and some. */
    private static final Duration CORE_DELAY = Duration.ofMillis(150);

    /** When a caller should retry whose call may have taken effect. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(300);

    /** The type of JSON bodies. */
    private static final String JSON = "application/json";

    /** The type of bodies of items. */
    private static final String BYTES = "application/octet-stream";

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger("io.yuccaswitch.batch");

    /** The calls that wait for the core. */
    private final PendingReplies replies;

    /** How callers speak. */
    private final CallerDialect dialect;

    /** The metrics. */
    private final MetricRegistry metrics;

    /**
     * Creates a handler.
     *
     * @param replies The calls that wait for the core.
     * @param dialect How callers speak.
     * @param metrics The metrics.
     */
    BatchHandler(PendingReplies replies, CallerDialect dialect, MetricRegistry metrics) {
        this.replies = replies;
        this.dialect = dialect;
        this.metrics = metrics;
    }

    /**
     * Serves the submission of a job.
     *
     * @param context The request.
     * @param caller Writes the answer.
     * @param job The job.
     * @param times When the submission arrived, and how long it may take.
     * @param done What follows the answer.
     */
    void submit(Context context, CallerResponse caller, BatchJob job, CallTimes times, Runnable done) {
        LOGGER.infof(
                "event=batch-submitted job=%s items=%d readMicros=%d",
                job.id(),
                job.items().size(),
                DecisionLoop.now().since(times.arrived()).toNanos() / 1000);
        MonotonicTime deadline = times.deadline(CALL_TIME);
        Asked asked = new Asked("submit", job.id().value(), deadline, done);
        ask(context, caller, asked, ticket -> new BatchEvent.Submitted(ticket, job, deadline));
    }

    /**
     * Serves a call about a job that is accepted.
     *
     * @param context The request.
     * @param caller Writes the answer.
     * @param call The call.
     * @param times When the call arrived, and how long it may take.
     * @param done What follows the answer.
     */
    void serve(Context context, CallerResponse caller, CallerDialect.BatchCall call, CallTimes times, Runnable done) {
        if (call instanceof CallerDialect.BatchCall.ReadResults read) {
            MonotonicTime until = times.arrived().plus(read.waitTime());
            MonotonicTime deadline = times.deadline(read.waitTime().plus(READ_TIME));
            Asked asked = new Asked("read", read.id().value(), deadline, done);
            ask(
                    context,
                    caller,
                    asked,
                    ticket -> new BatchEvent.ResultsRequested(ticket, read.id(), read.position(), until, deadline));
        } else if (call instanceof CallerDialect.BatchCall.ReadBody body) {
            MonotonicTime deadline = times.deadline(CALL_TIME);
            Asked asked = new Asked("body", body.id().value(), deadline, done);
            ask(
                    context,
                    caller,
                    asked,
                    ticket -> new BatchEvent.BodyRequested(ticket, body.id(), body.item(), deadline));
        } else if (call instanceof CallerDialect.BatchCall.End end) {
            MonotonicTime deadline = times.deadline(CALL_TIME);
            Asked asked = new Asked("end", end.id().value(), deadline, done);
            ask(context, caller, asked, ticket -> new BatchEvent.EndRequested(ticket, end.id(), deadline));
        }
    }

    /**
     * Asks the core, and answers when it has.
     *
     * @param context The request.
     * @param caller Writes the answer.
     * @param asked What is asked.
     * @param call Builds the call from its ticket.
     */
    private void ask(Context context, CallerResponse caller, Asked asked, LongFunction<Event> call) {
        long begun = System.nanoTime();
        Duration limit = asked.deadline().since(DecisionLoop.now()).plus(CORE_DELAY);
        CompletableFuture<Void> done = replies.ask(call, limit)
                .thenAccept(answer -> {
                    long micros = (System.nanoTime() - begun) / 1000;
                    metrics.timer("gateway.batch." + asked.kind()).update(micros, TimeUnit.MICROSECONDS);
                    LOGGER.infof(
                            "event=batch-call kind=%s job=%s outcome=%s micros=%d",
                            asked.kind(), asked.id(), describe(answer), micros);
                    write(caller, asked.kind(), answer);
                })
                .whenComplete((_result, _failure) -> asked.done().run());
        context.future(() -> done);
    }

    /**
     * Writes an answer.
     *
     * @param caller Writes the answer.
     * @param kind What was asked.
     * @param answer The answer.
     */
    private void write(CallerResponse caller, String kind, BatchAnswer answer) {
        try {
            if (answer instanceof BatchAnswer.Accepted) {
                caller.answerText(ACCEPTED, "", Optional.empty());
            } else if (answer instanceof BatchAnswer.NotAccepted refused) {
                caller.answerText(UNAVAILABLE, refused.reason(), Optional.of(refused.retryAfter()));
            } else if (answer instanceof BatchAnswer.Unsure unsure) {
                boolean changes = kind.equals("submit") || kind.equals("end");
                int status = changes ? GATEWAY_TIMEOUT : UNAVAILABLE;
                caller.answerText(status, unsure.reason(), Optional.of(RETRY_AFTER));
            } else if (answer instanceof BatchAnswer.Mismatch) {
                caller.answerText(CONFLICT, "the identifier belongs to a job with other items", Optional.empty());
            } else if (answer instanceof BatchAnswer.Unknown) {
                caller.answerText(NOT_FOUND, "there is no such job or item", Optional.empty());
            } else if (answer instanceof BatchAnswer.Results results) {
                caller.answer(JSON, dialect.writeResults(results));
            } else if (answer instanceof BatchAnswer.Body body) {
                caller.answer(BYTES, body.body().unsafeArray());
            } else {
                caller.answer(JSON, new byte[0]);
            }
        } catch (IOException exception) {
            LOGGER.infof("event=caller-gone reason=\"%s\"", exception.getMessage());
        }
    }

    /**
     * Describes an answer, for logs.
     *
     * @param answer The answer.
     * @return The description.
     */
    private static String describe(BatchAnswer answer) {
        if (answer instanceof BatchAnswer.Results results) {
            return "results-to-" + results.next() + "-of-" + results.total();
        }
        return answer.getClass().getSimpleName();
    }

    /**
     * What is asked.
     *
     * @param kind The kind of call, for logs and metrics.
     * @param id The job's identifier.
     * @param deadline By when the call has to be answered.
     * @param done What follows the answer.
     */
    private record Asked(String kind, String id, MonotonicTime deadline, Runnable done) {}

    /**
     * When a call arrived, and how long it may take.
     *
     * @param arrived When the node began to read the call.
     * @param allowed How long its caller waits, as far as that is known.
     */
    record CallTimes(MonotonicTime arrived, Duration allowed) {

        /**
         * Returns by when the call has to be answered.
         *
         * @param longest The longest time that the node takes for such a call.
         * @return The deadline.
         */
        private MonotonicTime deadline(Duration longest) {
            return arrived.plus(allowed.compareTo(longest) < 0 ? allowed : longest);
        }
    }
}
