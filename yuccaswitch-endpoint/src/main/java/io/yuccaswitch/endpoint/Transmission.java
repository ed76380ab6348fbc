package io.yuccaswitch.endpoint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.Protocol;
import okhttp3.Response;

/**
 * Watches one call, such that it can be told whether any byte of the request may have left, and makes sure that the
 * request is sent once at most: OkHttp sends a request again after some answers, whatever its settings.
 */
public final class Transmission extends EventListener {

    /** The header whose value of zero makes OkHttp send a request again. */
    private static final String RETRY_AFTER = "Retry-After";

    /**
     * Within what time a kept connection shows that the endpoint had closed it before: some round trips within a
     * region, and less than the work of most requests.
     */
    private static final Duration STALE_TIME = Duration.ofMillis(20);

    /** Says, right before the first byte, whether the request may still be sent. */
    private final BooleanSupplier maySend;

    /** Whether the request was let through to a connection. */
    private final AtomicBoolean admitted = new AtomicBoolean();

    /** Whether a byte of the request may have left. */
    private volatile boolean begun;

    /** Whether the request was held back, as it may not be sent any more. */
    private volatile boolean withheld;

    /** Whether a connection was made for this call. */
    private volatile boolean connected;

    /** When the first byte may have left, in nanoseconds. */
    private volatile long begunAt;

    /** The connection that carries the call, or empty before there is one. */
    private volatile Optional<Connection> connection = Optional.empty();

    /** Creates the watcher of a request that may be sent at any time. */
    public Transmission() {
        this(() -> true);
    }

    /**
     * Creates the watcher of a request.
     *
     * @param maySend Says, right before the first byte, whether the request may still be sent.
     */
    public Transmission(BooleanSupplier maySend) {
        this.maySend = maySend;
    }

    /**
     * Returns whether a byte of the request may have left.
     *
     * @return {@code false} if surely no byte has left.
     */
    public boolean begun() {
        return begun;
    }

    /**
     * Returns whether the request was held back, as it may not be sent any more.
     *
     * @return {@code true} if it was.
     */
    public boolean isWithheld() {
        return withheld;
    }

    /**
     * Returns whether the request went over a connection that was made for it. The endpoint then lived when it was
     * sent, which a connection that was kept from an earlier request does not tell.
     *
     * @return {@code false} for a kept connection, or if there was none.
     */
    public boolean isOnNewConnection() {
        return connected;
    }

    /**
     * Returns for how long the request has been on its way.
     *
     * @return The time since the first byte may have left, which is zero before.
     */
    public Duration sinceBegun() {
        return begun ? Duration.ofNanos(System.nanoTime() - begunAt) : Duration.ZERO;
    }

    /**
     * Returns whether the endpoint surely lived when it got the request, as far as this is known once the connection
     * has ended.
     *
     * @return {@code false} if a kept connection ended at once.
     */
    public boolean reachedLivingEndpoint() {
        return connected || sinceBegun().compareTo(STALE_TIME) >= 0;
    }

    /**
     * Describes how far the call has come, for logs.
     *
     * @return The time since it began, and whether its connection is a new one.
     */
    public String describe() {
        return "after " + sinceBegun().toMillis() + " ms on a " + (connected ? "new" : "kept") + " connection";
    }

    /** Closes the connection, such that no other request uses it. */
    public void closeConnection() {
        try {
            Optional<Socket> socket = connection.map(Connection::socket);
            if (socket.isPresent()) {
                socket.get().close();
            }
        } catch (IOException _exception) {
            // A connection that can't be closed is broken, which is what is wanted.
        }
    }

    /** {@inheritDoc} */
    @Override
    public void connectEnd(Call _call, InetSocketAddress _address, Proxy _proxy, Protocol _protocol) {
        connected = true;
    }

    /** {@inheritDoc} */
    @Override
    public void connectionAcquired(Call _call, Connection acquired) {
        connection = Optional.of(acquired);
    }

    /** {@inheritDoc} */
    @Override
    public void requestHeadersStart(Call _call) {
        begunAt = System.nanoTime();
        begun = true;
    }

    /** Lets each watched request through once, on the thread that is about to write it. */
    static final class Gate implements Interceptor {

        /** {@inheritDoc} */
        @Override
        public Response intercept(Chain chain) throws IOException {
            Transmission transmission = chain.call().request().tag(Transmission.class);
            if (transmission == null) {
                return chain.proceed(chain.request());
            }
            if (!transmission.admitted.compareAndSet(false, true)) {
                throw new IOException("The request was sent before.");
            }
            if (!transmission.maySend.getAsBoolean()) {
                transmission.withheld = true;
                throw new NotSentException();
            }
            return chain.proceed(chain.request())
                    .newBuilder()
                    .removeHeader(RETRY_AFTER)
                    .build();
        }
    }

    /** Tells that a request was held back because it may not be sent any more. */
    static final class NotSentException extends IOException {

        /** The version of the serialised form. */
        private static final long serialVersionUID = 1;

        /** Creates the exception. */
        NotSentException() {
            super("The request may not be sent any more.");
        }
    }
}
