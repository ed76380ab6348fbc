package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.modelversion.EngineReport;
import io.yuccaswitch.core.modelversion.OrderEffect;
import io.yuccaswitch.core.modelversion.OrderEvent;
import io.yuccaswitch.core.modelversion.OrderOutcome;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.endpoint.Transmission;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.platform.LogText;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Request;
import okhttp3.Response;
import org.jboss.logging.Logger;

/** Queries reports of engines and sends orders to them, and passes their answers to the core. */
final class OrderCaller implements AutoCloseable {

    /** The timeout of a call to an engine. */
    private static final Duration ENGINE_TIMEOUT = Duration.ofMillis(500);

    /** The status of success. */
    private static final int OK = 200;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(OrderCaller.class);

    /** The connections to engines. */
    private final EndpointHttp http;

    /** The dialect of engines. */
    private final EndpointDialect dialect;

    /** The core. */
    private final DecisionLoop loop;

    /** The subscriptions. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a caller and connects it to the core.
     *
     * @param http The connections to engines.
     * @param dialect The dialect of engines.
     * @param loop The core.
     */
    OrderCaller(EndpointHttp http, EndpointDialect dialect, DecisionLoop loop) {
        this.http = http;
        this.dialect = dialect;
        this.loop = loop;
        subscriptions.add(loop.effects(OrderEffect.ReadReport.class).subscribe(this::readReport));
        subscriptions.add(loop.effects(OrderEffect.LoadVersion.class).subscribe(this::order));
    }

    @Override
    public void close() {
        subscriptions.dispose();
    }

    /**
     * Queries a report.
     *
     * @param effect The query.
     */
    private void readReport(OrderEffect.ReadReport effect) {
        EndpointName engine = effect.engine().name();
        send(
                () -> dialect.report(effect.engine().address()),
                effect.engine(),
                answer -> loop.accept(new OrderEvent.ReportRead(engine, report(engine, answer))));
    }

    /**
     * Sends an order.
     *
     * @param effect The order.
     */
    private void order(OrderEffect.LoadVersion effect) {
        EndpointName engine = effect.engine().name();
        send(() -> dialect.order(effect), effect.engine(), answer -> {
            OrderOutcome outcome = answer.map(
                            received -> dialect.orderOutcome(received.status()).orElse(OrderOutcome.REJECTED))
                    .orElse(OrderOutcome.UNANSWERED);
            loop.accept(new OrderEvent.Ordered(engine, effect.model(), effect.version(), outcome));
        });
    }

    /**
     * Reads a report from an answer.
     *
     * @param engine The engine.
     * @param answer The answer, if one arrived.
     * @return The report, or empty if none was received.
     */
    private Optional<EngineReport> report(EndpointName engine, Optional<Answer> answer) {
        if (answer.isEmpty() || answer.get().status() != OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(dialect.readReport(answer.get().body().unsafeArray()));
        } catch (IOException exception) {
            LOGGER.warnf("event=report-unreadable endpoint=%s reason=\"%s\"", engine, exception.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Sends a call.
     *
     * @param request Builds the call.
     * @param engine The engine.
     * @param onAnswer Receives the answer, or empty if none was received.
     */
    private void send(
            Supplier<Request.Builder> request, RegisteredEndpoint engine, Consumer<Optional<Answer>> onAnswer) {
        Call prepared;
        try {
            Request.Builder builder = request.get();
            dialect.address(builder, engine.name(), ENGINE_TIMEOUT);
            prepared = http.call(builder, new Transmission(), ENGINE_TIMEOUT);
        } catch (IllegalArgumentException exception) {
            LOGGER.warnf(
                    "event=engine-call-not-sendable endpoint=%s reason=\"%s\"",
                    engine.name(), LogText.reason(exception));
            onAnswer.accept(Optional.empty());
            return;
        }
        prepared.enqueue(new Callback() {

            @Override
            public void onFailure(Call _call, IOException exception) {
                LOGGER.infof(
                        "event=engine-call-failed endpoint=%s reason=\"%s\"",
                        engine.name(), EndpointAttempts.describe(exception));
                onAnswer.accept(Optional.empty());
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    onAnswer.accept(Optional.of(new Answer(response.code(), http.readReport(call, response))));
                } catch (IOException exception) {
                    onFailure(call, exception);
                }
            }
        });
    }

    /**
     * An answer.
     *
     * @param status The status.
     * @param body The body.
     */
    private record Answer(int status, Bytes body) {}
}
