package io.yuccaswitch.platform;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.yuccaswitch.core.value.Bytes;
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

/**
 * Sends each request at most once over HTTP. All that OkHttp would repeat on its own is turned off, since a repeated
 * write would run the risk of a conflict with itself.
 */
final class HttpTransport implements AutoCloseable {

    /** The header that bears an object's version. */
    private static final String VERSION_HEADER = "X-Object-Version";

    /** The header on which OkHttp may repeat a request that was answered with 503. */
    private static final String RETRY_AFTER_HEADER = "Retry-After";

    /** The largest number of calls in flight at once; further ones wait. */
    private static final int MAXIMUM_CALLS = 64;

    /** The largest number of idle connections that are kept. */
    private static final int IDLE_CONNECTIONS = 4;

    /** The time for which an idle connection is kept, shorter than the usual time of servers. */
    private static final Duration IDLE_TIME = Duration.ofSeconds(15);

    /** The largest answer that is read. */
    private static final long MAXIMUM_ANSWER_SIZE = 64L << 20;

    /** The client for calls that are answered at once. */
    private final OkHttpClient client;

    /** The client for watches. */
    private final OkHttpClient watchClient;

    /** How long a call may take that does not wait for changes. */
    private final Duration callTimeout;

    /** The watches that wait. */
    private final Set<Call> waitingWatches = ConcurrentHashMap.newKeySet();

    /**
     * Creates a transport.
     *
     * @param settings The settings of the platform client.
     */
    HttpTransport(PlatformClientSettings settings) {
        callTimeout = settings.callTimeout();
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAXIMUM_CALLS);
        dispatcher.setMaxRequestsPerHost(MAXIMUM_CALLS);
        client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, IDLE_TIME.toMillis(), TimeUnit.MILLISECONDS))
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
     * @return What becomes of it, on a thread of the transport. It never fails.
     */
    Single<Reply> send(Request request) {
        return send(client, request, callTimeout);
    }

    /**
     * Sends a request that waits for changes.
     *
     * @param request The request.
     * @param waitTime How long the platform waits. A connection that is silent for longer is given up.
     * @return What becomes of it, on a thread of the transport. It never fails.
     */
    Single<Reply> sendWatch(Request request, Duration waitTime) {
        return send(watchClient, request, waitTime.plus(callTimeout));
    }

    /**
     * Sends a request.
     *
     * @param sender The client that sends it.
     * @param request The request.
     * @param timeout How long it may take.
     * @return What becomes of it.
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
                waitingWatches.add(call);
            }
            call.enqueue(new ReplyCallback(emitter, () -> waitingWatches.remove(call)));
        });
    }

    /**
     * Returns the number of watches that wait.
     *
     * @return The number.
     */
    int waitingWatches() {
        return waitingWatches.size();
    }

    /**
     * Breaks off the watches that wait, and drops idle connections: the path to the platform may be cut, which a call
     * that waits does not notice.
     */
    void abandonWatches() {
        waitingWatches.forEach(Call::cancel);
        client.connectionPool().evictAll();
    }

    /** Cancels all calls, which thereby fail, and releases all threads and connections. */
    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /**
     * Returns how connections are encrypted. The classes for encryption slow each start, so they are left out where the
     * platform's address shows that there is none.
     *
     * @param address The platform's address.
     * @return The ways to connect.
     */
    private static List<ConnectionSpec> connectionSpecs(String address) {
        return address.startsWith("https:") ? List.of(ConnectionSpec.MODERN_TLS) : List.of(ConnectionSpec.CLEARTEXT);
    }

    /**
     * Creates the listener that notes when a call begins to be sent.
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
     * Whether a call began to be sent.
     *
     * @param started Set before the first byte is sent.
     */
    private record SendMark(AtomicBoolean started) {}

    /**
     * Turns what OkHttp calls back into a reply.
     *
     * @param emitter The emitter that takes the reply.
     * @param ended What follows the end of the call.
     */
    private record ReplyCallback(SingleEmitter<Reply> emitter, Runnable ended) implements Callback {

        /** {@inheritDoc} */
        @Override
        public void onFailure(Call call, IOException exception) {
            ended.run();
            emitter.onSuccess(failed(call, exception));
        }

        /** {@inheritDoc} */
        @Override
        public void onResponse(Call call, Response response) {
            Reply reply = read(call, response);
            ended.run();
            emitter.onSuccess(reply);
        }

        /**
         * Reads a whole answer.
         *
         * @param call The call.
         * @param response The response.
         * @return The answer, or that it was cut off.
         */
        private static Reply read(Call call, Response response) {
            try (response) {
                BufferedSource source = response.body().source();
                if (source.request(MAXIMUM_ANSWER_SIZE + 1)) {
                    return new Reply.Failed("answer too large", true, false);
                }
                return new Reply.Answered(
                        response.code(),
                        Optional.ofNullable(response.header(VERSION_HEADER)),
                        Bytes.wrap(source.readByteArray()));
            } catch (IOException exception) {
                return failed(call, exception);
            }
        }

        /**
         * Describes a failure.
         *
         * @param call The call.
         * @param exception The exception that ended it.
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
