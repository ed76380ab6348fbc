package io.yuccaswitch.platform;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.http.AnswerObserver;
import io.yuccaswitch.http.AnswerValidation;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.ConnectionSpec;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;
import org.jboss.logging.Logger;

/**
 * Sends each request at most once over HTTP. All automatic retries of OkHttp are disabled, since a repeated write could
 * conflict with itself.
 */
final class HttpTransport implements AutoCloseable {

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(HttpTransport.class);

    /** The header that contains an object's version. */
    private static final String VERSION_HEADER = "X-Object-Version";

    /** The response header that lets OkHttp repeat a request that was answered with status 503. */
    private static final String RETRY_AFTER_HEADER = "Retry-After";

    /** The maximum number of calls in flight. Further calls are queued. */
    private static final int MAXIMUM_CONCURRENT_CALLS = 64;

    /** The maximum number of idle connections that are kept open. */
    private static final int MAXIMUM_IDLE_CONNECTIONS = 4;

    /** The time after which an idle connection is closed, which is shorter than the usual timeout of servers. */
    private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(15);

    /** The maximum size of an answer in bytes: of the largest lists, and far less than the heap of a small process. */
    private static final long MAXIMUM_ANSWER_BYTES = 8L << 20;

    /** The client for calls that do not wait for changes. */
    private final OkHttpClient client;

    /** The client for watches. */
    private final OkHttpClient watchClient;

    /** The timeout of a call that does not wait for changes. */
    private final Duration callTimeout;

    /** The watches in flight. */
    private final Set<Call> watchesInFlight = ConcurrentHashMap.newKeySet();

    /**
     * Creates a transport.
     *
     * @param settings The settings of the platform client.
     * @param metrics The metrics, which count malformed answers and unusable connections.
     */
    HttpTransport(PlatformClientSettings settings, MetricRegistry metrics) {
        callTimeout = settings.callTimeout();
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAXIMUM_CONCURRENT_CALLS);
        dispatcher.setMaxRequestsPerHost(MAXIMUM_CONCURRENT_CALLS);
        client = validatedBuilder(settings.address(), metrics)
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(
                        MAXIMUM_IDLE_CONNECTIONS, IDLE_CONNECTION_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                .protocols(List.of(Protocol.HTTP_1_1))
                .connectionSpecs(connectionSpecs(settings.address()))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .addNetworkInterceptor(chain -> chain.proceed(chain.request())
                        .newBuilder()
                        .removeHeader(RETRY_AFTER_HEADER)
                        .build())
                .eventListenerFactory(HttpTransport::sendListener)
                .connectTimeout(settings.connectTimeout())
                .readTimeout(settings.callTimeout())
                .writeTimeout(settings.callTimeout())
                .callTimeout(settings.callTimeout())
                .build();
        Duration watchTimeout = settings.watchWait().plus(settings.callTimeout());
        watchClient = client.newBuilder()
                .readTimeout(watchTimeout)
                .callTimeout(watchTimeout)
                .build();
    }

    /**
     * Sends a request.
     *
     * @param request The request.
     * @return The reply, emitted on a thread of the transport. This single never fails.
     */
    Single<Reply> send(Request request) {
        return send(client, request, callTimeout);
    }

    /**
     * Sends a request that waits for changes.
     *
     * @param request The request.
     * @param waitTime The time for which the platform waits. The call fails if there is no answer within this time plus
     *     the call timeout.
     * @return The reply, emitted on a thread of the transport. This single never fails.
     */
    Single<Reply> sendWatch(Request request, Duration waitTime) {
        return send(watchClient, request, waitTime.plus(callTimeout));
    }

    /**
     * Sends a request.
     *
     * @param sender The client that sends it.
     * @param request The request.
     * @param timeout The timeout of the call.
     * @return The reply.
     */
    private Single<Reply> send(OkHttpClient sender, Request request, Duration timeout) {
        return Single.create(emitter -> {
            Request marked = request.newBuilder()
                    .tag(SendMark.class, new SendMark(new AtomicBoolean()))
                    .build();
            Call call = sender.newCall(marked);
            call.timeout().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
            emitter.setCancellable(call::cancel);
            if (sender == watchClient) {
                watchesInFlight.add(call);
            }
            call.enqueue(new ReplyCallback(emitter, () -> watchesInFlight.remove(call)));
        });
    }

    /**
     * Returns the number of watches in flight.
     *
     * @return The number.
     */
    int watchesInFlight() {
        return watchesInFlight.size();
    }

    /**
     * Cancels the watches in flight and closes idle connections: the network path to the platform may be broken, which
     * a waiting call does not detect.
     */
    void cancelWatches() {
        watchesInFlight.forEach(Call::cancel);
        client.connectionPool().evictAll();
    }

    /** Cancels all calls, so that they fail, and releases all threads and connections. */
    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /**
     * Creates the builder of a client that validates answers. Answers over TLS are not validated, as only the client
     * library reads them as cleartext.
     *
     * @param address The platform's address.
     * @param metrics The metrics.
     * @return The builder.
     */
    private static OkHttpClient.Builder validatedBuilder(String address, MetricRegistry metrics) {
        OkHttpClient.Builder builder = new OkHttpClient.Builder();
        return usesTls(address)
                ? builder
                : AnswerValidation.addTo(builder, new AnswerObserver.Reporting(metrics, "platform"));
    }

    /**
     * Returns whether connections to an address use TLS.
     *
     * @param address The platform's address.
     * @return {@code true} if they do.
     */
    private static boolean usesTls(String address) {
        return address.startsWith("https:");
    }

    /**
     * Returns the connection specifications for an address. Loading the TLS classes slows down the start of the
     * process, so TLS is omitted unless the platform's address requires it.
     *
     * @param address The platform's address.
     * @return The connection specifications.
     */
    private static List<ConnectionSpec> connectionSpecs(String address) {
        return usesTls(address) ? List.of(ConnectionSpec.MODERN_TLS) : List.of(ConnectionSpec.CLEARTEXT);
    }

    /**
     * Creates the listener that marks a call when OkHttp starts to send it.
     *
     * @param call The call.
     * @return The listener.
     */
    private static EventListener sendListener(Call call) {
        return new EventListener() {
            @Override
            public void requestHeadersStart(Call _call) {
                markOf(call).started().set(true);
            }
        };
    }

    /**
     * Returns the mark of a call.
     *
     * @param call The call.
     * @return The mark.
     */
    private static SendMark markOf(Call call) {
        SendMark mark = call.request().tag(SendMark.class);
        return mark == null ? new SendMark(new AtomicBoolean()) : mark;
    }

    /**
     * Records whether OkHttp started to send a call.
     *
     * @param started The flag, which is set before the first byte is sent.
     */
    private record SendMark(AtomicBoolean started) {}

    /**
     * Converts the callback of OkHttp to a reply.
     *
     * @param emitter The emitter of the reply.
     * @param onEnd The callback to run when the call ends.
     */
    private record ReplyCallback(SingleEmitter<Reply> emitter, Runnable onEnd) implements Callback {

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call call, IOException exception) {
            onEnd.run();
            emitter.onSuccess(failed(call, exception));
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call call, Response response) {
            Reply reply = read(call, response);
            onEnd.run();
            emitter.onSuccess(reply);
        }

        /**
         * Reads a complete answer.
         *
         * @param call The call.
         * @param response The response.
         * @return The answer, a report that it is too large, or a failure if it was truncated.
         */
        private static Reply read(Call call, Response response) {
            try (response) {
                BufferedSource source = response.body().source();
                if (source.request(MAXIMUM_ANSWER_BYTES + 1)) {
                    call.cancel();
                    return new Reply.Oversized();
                }
                return new Reply.Answered(
                        response.code(),
                        Optional.ofNullable(response.header(VERSION_HEADER)),
                        Bytes.wrap(source.readByteArray()));
            } catch (IOException exception) {
                return failed(call, exception);
            } catch (RuntimeException | Error failure) {
                // OkHttp drops what a callback throws, and the call would never be answered.
                LOGGER.errorf(
                        failure,
                        "event=platform-answer-unreadable url=%s",
                        call.request().url());
                return new Reply.Failed("failure: " + failure, true, false);
            }
        }

        /**
         * Creates the reply for a failed call.
         *
         * @param call The call.
         * @param exception The exception.
         * @return The failure.
         */
        private static Reply failed(Call call, IOException exception) {
            return new Reply.Failed(
                    exception.getClass().getSimpleName() + ": " + exception.getMessage(),
                    markOf(call).started().get(),
                    call.isCanceled() && !(exception instanceof InterruptedIOException));
        }
    }
}
