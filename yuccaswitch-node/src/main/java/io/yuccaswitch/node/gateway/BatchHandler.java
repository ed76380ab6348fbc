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

    /** The status of an accepted job. */
    private static final int ACCEPTED = 202;

    /** The status of an identifier that belongs to another job. */
    private static final int CONFLICT = 409;

    /** The status of a job or item that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a call whose result is unknown to the node. It guarantees that nothing ran. */
    private static final int UNAVAILABLE = 503;

    /** The status of a submission or an end that may have taken effect. */
    private static final int GATEWAY_TIMEOUT = 504;

    /**
     * The timeout of a call that does not wait for results. Callers repeat an unanswered call at another node, so they
     * must be answered early.
     */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    /** The time that a call for results may take in addition to its wait for results. */
    private static final Duration READ_MARGIN = Duration.ofSeconds(1);

    /** The margin for the core to answer at the deadline: its maximum pause between two ticks and some more. */
    private static final Duration CORE_DELAY_MARGIN = Duration.ofMillis(150);

    /** The delay before a caller retries a call that may have taken effect. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(300);

    /** The type of JSON bodies. */
    private static final String JSON_TYPE = "application/json";

    /** The type of bodies of items. */
    private static final String BYTES_TYPE = "application/octet-stream";

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger("io.yuccaswitch.batch");

    /** The view of the core. */
    private final GatewayView view;

    /** The calls that wait for the core. */
    private final PendingReplies replies;

    /** The dialect of callers. */
    private final CallerDialect dialect;

    /** The metrics. */
    private final MetricRegistry metrics;

    /**
     * Creates a handler.
     *
     * @param view The view of the core.
     * @param replies The calls that wait for the core.
     * @param dialect The dialect of callers.
     * @param metrics The metrics.
     */
    BatchHandler(GatewayView view, PendingReplies replies, CallerDialect dialect, MetricRegistry metrics) {
        this.view = view;
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
     * @param onDone Runs after the answer.
     */
    void submit(Context context, CallerResponse caller, BatchJob job, CallTimes times, Runnable onDone) {
        LOGGER.infof(
                "event=batch-submitted job=%s items=%d readMicros=%d",
                job.id(),
                job.items().size(),
                DecisionLoop.now().since(times.arrivedAt()).toNanos() / 1000);
        MonotonicTime deadline = times.deadline(CALL_TIMEOUT);
        PendingCall pending = new PendingCall("submit", job.id().value(), deadline, onDone);
        request(context, caller, pending, ticket -> new BatchEvent.Submitted(ticket, job, deadline));
    }

    /**
     * Serves a call about an accepted job.
     *
     * @param context The request.
     * @param caller Writes the answer.
     * @param call The call.
     * @param times When the call arrived, and how long it may take.
     * @param onDone Runs after the answer.
     */
    void serve(Context context, CallerResponse caller, CallerDialect.BatchCall call, CallTimes times, Runnable onDone) {
        if (call instanceof CallerDialect.BatchCall.ReadResults read) {
            boolean mayWait = view.admits(times.deadline(read.waitTime().plus(READ_MARGIN)));
            Duration waitTime = mayWait ? read.waitTime() : Duration.ZERO;
            MonotonicTime until = times.arrivedAt().plus(waitTime);
            MonotonicTime deadline = times.deadline(waitTime.plus(READ_MARGIN));
            PendingCall pending = new PendingCall("read", read.id().value(), deadline, onDone);
            request(
                    context,
                    caller,
                    pending,
                    ticket -> new BatchEvent.ResultsRequested(ticket, read.id(), read.position(), until, deadline));
        } else if (call instanceof CallerDialect.BatchCall.ReadBody body) {
            MonotonicTime deadline = times.deadline(CALL_TIMEOUT);
            PendingCall pending = new PendingCall("body", body.id().value(), deadline, onDone);
            request(
                    context,
                    caller,
                    pending,
                    ticket -> new BatchEvent.BodyRequested(ticket, body.id(), body.item(), deadline));
        } else if (call instanceof CallerDialect.BatchCall.End end) {
            MonotonicTime deadline = times.deadline(CALL_TIMEOUT);
            PendingCall pending = new PendingCall("end", end.id().value(), deadline, onDone);
            request(context, caller, pending, ticket -> new BatchEvent.EndRequested(ticket, end.id(), deadline));
        }
    }

    /**
     * Sends a call to the core, and writes the answer of the core when it is there.
     *
     * @param context The request.
     * @param caller Writes the answer.
     * @param pending The call.
     * @param call Builds the call from its ticket.
     */
    private void request(Context context, CallerResponse caller, PendingCall pending, LongFunction<Event> call) {
        long startedAt = System.nanoTime();
        Duration timeout = pending.deadline().since(DecisionLoop.now()).plus(CORE_DELAY_MARGIN);
        CompletableFuture<Void> written = replies.request(call, timeout)
                .thenAccept(answer -> {
                    long micros = (System.nanoTime() - startedAt) / 1000;
                    metrics.timer("gateway.batch." + pending.kind()).update(micros, TimeUnit.MICROSECONDS);
                    LOGGER.infof(
                            "event=batch-call kind=%s job=%s outcome=%s micros=%d",
                            pending.kind(), pending.id(), describe(answer), micros);
                    write(caller, pending.kind(), answer);
                })
                .whenComplete((_result, _failure) -> pending.onDone().run());
        context.future(() -> written);
    }

    /**
     * Writes an answer.
     *
     * @param caller Writes the answer.
     * @param kind The kind of call.
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
                caller.answer(JSON_TYPE, dialect.writeResults(results));
            } else if (answer instanceof BatchAnswer.Body body) {
                caller.answer(BYTES_TYPE, body.body().unsafeArray());
            } else {
                caller.answer(JSON_TYPE, new byte[0]);
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
     * A call that waits for an answer of the core.
     *
     * @param kind The kind of call, for logs and metrics.
     * @param id The job's identifier.
     * @param deadline The time by which the call must be answered.
     * @param onDone Runs after the answer.
     */
    private record PendingCall(String kind, String id, MonotonicTime deadline, Runnable onDone) {}

    /**
     * When a call arrived, and how long it may take.
     *
     * @param arrivedAt When the node started to read the call.
     * @param allowed How long the caller waits, as far as this is known.
     */
    record CallTimes(MonotonicTime arrivedAt, Duration allowed) {

        /**
         * Returns the time by which the call must be answered.
         *
         * @param maximum The maximum time that the node takes for such a call.
         * @return The deadline.
         */
        private MonotonicTime deadline(Duration maximum) {
            return arrivedAt.plus(allowed.compareTo(maximum) < 0 ? allowed : maximum);
        }
    }
}
