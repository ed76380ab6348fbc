package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.yuccaswitch.core.duty.DutyOutcome;
import io.yuccaswitch.core.scaling.ScalingEffect;
import io.yuccaswitch.core.scaling.ScalingEvent;
import io.yuccaswitch.core.usage.UsageEffect;
import io.yuccaswitch.core.usage.UsageEvent;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.endpoint.Transmission;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.platform.LogText;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Request;
import okhttp3.Response;
import org.jboss.logging.Logger;

/** Calls the cloud and reports the outcomes to the core. */
final class CloudCaller implements AutoCloseable {

    /** The timeout of a call to the cloud. The cloud is slow at times, and a call that timed out is sent again. */
    private static final Duration CLOUD_TIMEOUT = Duration.ofSeconds(3);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(CloudCaller.class);

    /** The connections. */
    private final EndpointHttp http;

    /** The dialect of the cloud. */
    private final CloudDialect dialect;

    /** The address of the cloud. */
    private final String address;

    /** The core. */
    private final DecisionLoop loop;

    /** The subscriptions. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a caller and connects it to the core.
     *
     * @param http The connections.
     * @param dialect The dialect of the cloud.
     * @param address The address of the cloud.
     * @param loop The core.
     */
    CloudCaller(EndpointHttp http, CloudDialect dialect, String address, DecisionLoop loop) {
        this.http = http;
        this.dialect = dialect;
        this.address = address;
        this.loop = loop;
        subscriptions.add(loop.effects(UsageEffect.Report.class).subscribe(this::report));
        subscriptions.add(loop.effects(ScalingEffect.Order.class).subscribe(this::order));
    }

    @Override
    public void close() {
        subscriptions.dispose();
    }

    /**
     * Sends a report of usage.
     *
     * @param report The report.
     */
    private void report(UsageEffect.Report report) {
        send(
                () -> dialect.report(address, report),
                outcome -> loop.accept(new UsageEvent.Reported(report.window(), outcome)));
    }

    /**
     * Sends an order of endpoints.
     *
     * @param order The order.
     */
    private void order(ScalingEffect.Order order) {
        send(
                () -> dialect.order(address, order),
                outcome -> loop.accept(new ScalingEvent.Ordered(order.pool(), order.zone(), outcome)));
    }

    /**
     * Sends a call.
     *
     * @param request Builds the call.
     * @param onOutcome Receives the outcome.
     */
    private void send(Supplier<Request.Builder> request, Consumer<DutyOutcome> onOutcome) {
        Call prepared;
        try {
            prepared = http.call(request.get(), new Transmission(), CLOUD_TIMEOUT);
        } catch (IllegalArgumentException exception) {
            LOGGER.warnf("event=cloud-call-not-sendable reason=\"%s\"", LogText.reason(exception));
            onOutcome.accept(DutyOutcome.UNANSWERED);
            return;
        }
        prepared.enqueue(new Callback() {
            @Override
            public void onFailure(Call call, IOException exception) {
                LOGGER.infof(
                        "event=cloud-call-failed path=%s reason=\"%s\"",
                        call.request().url().encodedPath(), EndpointAttempts.describe(exception));
                onOutcome.accept(DutyOutcome.UNANSWERED);
            }

            @Override
            public void onResponse(Call call, Response response) {
                try (response) {
                    onOutcome.accept(dialect.outcome(response.code()));
                    http.discard(call, response);
                }
            }
        });
    }
}
