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
 * Gives orders to engines to load weights. An order is sent once at most, and not at or after the end of its validity,
 * which is looked at when the connection stands and the first byte is about to be written. What the engine answers is
 * its word only: the versions that it holds are read back from its load report.
 *
 * <p>To wire it, subscribe {@link #order} to the {@link WeightEffect.Order} effects.
 */
public final class OrderClient {

    /** The status of an order that was refused because of its fencing number. */
    private static final int CONFLICT = 409;

    /** The code of an order that was refused because of its fencing number. */
    private static final String OLD_FENCING_NUMBER = "old-fencing-number";

    /** The HTTP client. */
    private final EndpointHttp http;

    /** Reads the monotonic clock of the decision core. */
    private final Supplier<MonotonicTime> clock;

    /** Takes the ends of orders. */
    private final Consumer<? super Event> sink;

    /**
     * Creates a new client.
     *
     * @param http The HTTP client.
     * @param clock Reads the monotonic clock of the decision core.
     * @param sink Takes the ends of orders, exactly one for each.
     */
    public OrderClient(EndpointHttp http, Supplier<MonotonicTime> clock, Consumer<? super Event> sink) {
        this.http = http;
        this.clock = clock;
        this.sink = sink;
    }

    /**
     * Gives an order, without waiting for the answer.
     *
     * @param order The order.
     * @param timeout The longest flight of the order.
     */
    public void order(WeightEffect.Order order, Duration timeout) {
        HttpUrl url = HttpUrl.parse("http://" + order.address() + "/orders");
        if (url == null) {
            end(order, OrderResult.FAILED, "not an address: " + order.address());
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
        http.call(request, transmission, timeout).enqueue(new Flight(order, transmission));
    }

    /**
     * Ends an order.
     *
     * @param order The order.
     * @param result How it ended.
     * @param reason The reason, for logs.
     */
    private void end(WeightEffect.Order order, OrderResult result, String reason) {
        sink.accept(new WeightEvent.OrderEnded(
                order.endpoint(), order.fencingNumber(), order.model(), order.version(), result, reason));
    }

    /** An order under way. */
    private final class Flight implements Callback {

        /** The order. */
        private final WeightEffect.Order order;

        /** Watches the call. */
        private final Transmission transmission;

        /**
         * Creates the callback.
         *
         * @param order The order.
         * @param transmission Watches the call.
         */
        Flight(WeightEffect.Order order, Transmission transmission) {
            this.order = order;
            this.transmission = transmission;
        }

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call _call, IOException exception) {
            fail(exception);
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call call, Response response) {
            ObjectNode body;
            try (response) {
                body = Json.parse(AnswerBody.read(response, http.settings().maximumReportBytes()));
            } catch (IOException exception) {
                call.cancel();
                fail(exception);
                return;
            }
            String code = body.path("error").path("code").asText();
            if (response.isSuccessful()) {
                end(order, OrderResult.ACCEPTED, "accepted");
            } else if (response.code() == CONFLICT && code.equals(OLD_FENCING_NUMBER)) {
                end(order, OrderResult.FENCED, code);
            } else {
                end(order, OrderResult.FAILED, "status " + response.code() + " " + code);
            }
        }

        /**
         * Ends the order after a failure: it surely has no effect only if no byte of it can have left.
         *
         * @param exception The failure.
         */
        private void fail(IOException exception) {
            if (exception instanceof Transmission.NotSentException) {
                end(order, OrderResult.NOT_SENT, exception.getMessage());
                return;
            }
            OrderResult result = transmission.begun() ? OrderResult.UNKNOWN : OrderResult.FAILED;
            end(order, result, String.valueOf(exception.getMessage()));
        }
    }
}
