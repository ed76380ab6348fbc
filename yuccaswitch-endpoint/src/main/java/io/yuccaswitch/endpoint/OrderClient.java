package io.yuccaswitch.endpoint;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.weight.OrderResult;
import io.yuccaswitch.core.weight.WeightEffect;
import io.yuccaswitch.core.weight.WeightEvent;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Sends orders to engines to load weights. An order is sent at most once, and not at or after the end of its validity,
 * which is checked after the connection is established and right before the first byte is written. The answer of the
 * engine is not proof of success: the versions that it has loaded are read from its load report.
 *
 * <p>To wire it, subscribe {@link #order} to the {@link WeightEffect.Order} effects.
 */
public final class OrderClient {

    /** The HTTP status of an order that was rejected because of its fencing number. */
    private static final int CONFLICT = 409;

    /** The error code of an order that was rejected because of its fencing number. */
    private static final String OLD_FENCING_NUMBER = "old-fencing-number";

    /** The HTTP client. */
    private final EndpointHttp http;

    /** Reads the monotonic clock of the decision core. */
    private final Supplier<MonotonicTime> clock;

    /** Receives the results of orders. */
    private final Consumer<? super Event> sink;

    /**
     * Creates a new client.
     *
     * @param http The HTTP client.
     * @param clock Reads the monotonic clock of the decision core.
     * @param sink Receives the results of orders, exactly one for each order.
     */
    public OrderClient(EndpointHttp http, Supplier<MonotonicTime> clock, Consumer<? super Event> sink) {
        this.http = http;
        this.clock = clock;
        this.sink = sink;
    }

    /**
     * Sends an order without waiting for the answer.
     *
     * @param order The order.
     * @param timeout The timeout of the complete call.
     */
    public void order(WeightEffect.Order order, Duration timeout) {
        HttpUrl url = HttpUrl.parse("http://" + order.address() + "/orders");
        if (url == null) {
            report(order, OrderResult.FAILED, "invalid address: " + order.address());
            return;
        }
        ObjectNode body = Json.object()
                .put("fencingNumber", order.fencingNumber())
                .put("model", order.model())
                .put("version", order.version())
                .put("location", order.location());
        Transmission transmission = new Transmission(() -> clock.get().isBefore(order.validUntil()));
        Request.Builder request =
                new Request.Builder().url(url).post(new OneShotBody("application/json", Json.write(body)));
        http.call(request, transmission, timeout).enqueue(new OrderCallback(order, transmission));
    }

    /**
     * Reports the result of an order.
     *
     * @param order The order.
     * @param result The result.
     * @param reason The reason, for logs.
     */
    private void report(WeightEffect.Order order, OrderResult result, String reason) {
        sink.accept(new WeightEvent.OrderEnded(
                order.endpoint(), order.fencingNumber(), order.model(), order.version(), result, reason));
    }

    /** Handles the answer to an order. */
    private final class OrderCallback implements Callback {

        /** The order. */
        private final WeightEffect.Order order;

        /** Tracks the progress of the call. */
        private final Transmission transmission;

        /**
         * Creates the callback.
         *
         * @param order The order.
         * @param transmission Tracks the progress of the call.
         */
        OrderCallback(WeightEffect.Order order, Transmission transmission) {
            this.order = order;
            this.transmission = transmission;
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call _call, IOException exception) {
            reportFailure(exception);
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call call, Response response) {
            ObjectNode body;
            try (response) {
                body = Json.parse(http.readDelimitedReport(call, response));
            } catch (IOException exception) {
                call.cancel();
                reportFailure(exception);
                return;
            }
            String code = body.path("error").path("code").asText();
            if (response.isSuccessful()) {
                report(order, OrderResult.ACCEPTED, "accepted");
            } else if (response.code() == CONFLICT && code.equals(OLD_FENCING_NUMBER)) {
                report(order, OrderResult.FENCED, code);
            } else {
                report(order, OrderResult.FAILED, "status " + response.code() + " " + code);
            }
        }

        /**
         * Reports a failure. The order is guaranteed to have no effect only if no byte of it can have been sent.
         *
         * @param exception The failure.
         */
        private void reportFailure(IOException exception) {
            if (exception instanceof Transmission.NotSentException) {
                report(order, OrderResult.NOT_SENT, exception.getMessage());
                return;
            }
            OrderResult result = transmission.begun() ? OrderResult.UNKNOWN : OrderResult.FAILED;
            report(order, result, String.valueOf(exception.getMessage()));
        }
    }
}
