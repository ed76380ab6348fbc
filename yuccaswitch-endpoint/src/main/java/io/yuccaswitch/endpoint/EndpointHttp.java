package io.yuccaswitch.endpoint;

import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.ConnectionSpec;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;

/** The HTTP client that all clients of endpoints share: pooled HTTP/1.1 connections, and no request ever sent again. */
public final class EndpointHttp implements AutoCloseable {

    /** The largest number of calls at the same time, far above what the decision core lets through. */
    private static final int MAXIMUM_CALLS = 4096;

    /** How the clients behave. */
    private final EndpointClientSettings settings;

    /** The client. */
    private final OkHttpClient client;

    /** The same client without kept connections. */
    private final OkHttpClient connecting;

    /**
     * Creates a new client.
     *
     * @param settings How the clients behave.
     */
    public EndpointHttp(EndpointClientSettings settings) {
        this.settings = settings;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAXIMUM_CALLS);
        dispatcher.setMaxRequestsPerHost(MAXIMUM_CALLS);
        client = new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .protocols(List.of(Protocol.HTTP_1_1))
                .connectionSpecs(List.of(ConnectionSpec.CLEARTEXT))
                .proxy(Proxy.NO_PROXY)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .connectTimeout(settings.connectTimeout())
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                .connectionPool(new ConnectionPool(
                        settings.idleConnections(),
                        settings.idleConnectionTime().toMillis(),
                        TimeUnit.MILLISECONDS))
                .addNetworkInterceptor(new Transmission.Gate())
                .build();
        connecting = client.newBuilder()
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                .build();
    }

    /**
     * Returns how the clients behave.
     *
     * @return The settings.
     */
    EndpointClientSettings settings() {
        return settings;
    }

    /**
     * Prepares a call.
     *
     * @param request The request.
     * @param transmission The watcher of the call.
     * @param timeout The time after which the call is given up.
     * @return The call, not begun yet.
     */
    public Call call(Request.Builder request, Transmission transmission, Duration timeout) {
        return call(request, transmission, timeout, ConnectionUse.KEPT);
    }

    /**
     * Prepares a call.
     *
     * @param request The request.
     * @param transmission The watcher of the call.
     * @param timeout The time after which the call is given up.
     * @param connection Which connection it goes over.
     * @return The call, not begun yet.
     */
    public Call call(Request.Builder request, Transmission transmission, Duration timeout, ConnectionUse connection) {
        OkHttpClient chosen = connection == ConnectionUse.KEPT ? client : connecting;
        Call call = chosen.newCall(request.header("Accept-Encoding", "identity")
                .tag(Transmission.class, transmission)
                .build());
        call.addEventListener(transmission);
        call.timeout().timeout(Math.max(1, timeout.toNanos()), TimeUnit.NANOSECONDS);
        return call;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /** Which connection a call goes over. */
    public enum ConnectionUse {
        /** One that was kept from an earlier call, if there is one. */
        KEPT,
        /** A new one, which tells that the endpoint lives before the request is sent. */
        NEW
    }
}
