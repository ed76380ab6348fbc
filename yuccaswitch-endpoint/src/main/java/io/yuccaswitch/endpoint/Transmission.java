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
 * Tracks one call to determine whether any byte of the request may have been sent, and ensures that the request is sent
 * at most once: OkHttp resends a request after some answers, regardless of its settings.
 */
public final class Transmission extends EventListener {

    /** The header that makes OkHttp resend a request if its value is zero. */
    private static final String RETRY_AFTER = "Retry-After";

    /**
     * The time within which a pooled connection reveals that the endpoint had already closed it. It covers some round
     * trips within a region and is shorter than the processing time of most requests.
     */
    private static final Duration STALE_CONNECTION_DETECTION_TIMEOUT = Duration.ofMillis(20);

    /** Returns, right before the first byte is written, whether the request may still be sent. */
    private final BooleanSupplier maySend;

    /** Whether the request was passed to a connection. */
    private final AtomicBoolean passedOn = new AtomicBoolean();

    /** Whether a byte of the request may have been sent. */
    private volatile boolean begun;

    /** Whether the request was not sent because sending was no longer permitted. */
    private volatile boolean withheld;

    /** Whether a connection was established for this call. */
    private volatile boolean newConnection;

    /** The time at which the first byte may have been sent, in nanoseconds. */
    private volatile long begunAt;

    /** The connection that carries the call, or empty before there is one. */
    private volatile Optional<Connection> connection = Optional.empty();

    /** Creates the transmission of a request that may be sent at any time. */
    public Transmission() {
        this(() -> true);
    }

    /**
     * Creates the transmission of a request.
     *
     * @param maySend Returns, right before the first byte is written, whether the request may still be sent.
     */
    public Transmission(BooleanSupplier maySend) {
        this.maySend = maySend;
    }

    /**
     * Returns whether a byte of the request may have been sent.
     *
     * @return {@code false} if it is guaranteed that no byte has been sent.
     */
    public boolean begun() {
        return begun;
    }

    /**
     * Returns whether the request was not sent because sending was no longer permitted.
     *
     * @return {@code true} if the request was withheld.
     */
    public boolean isWithheld() {
        return withheld;
    }

    /**
     * Returns whether the request was sent over a connection that was established for it. The endpoint was then running
     * when the request was sent, which a pooled connection of an earlier request does not guarantee.
     *
     * @return {@code false} for a pooled connection, or if there was no connection.
     */
    public boolean isOnNewConnection() {
        return newConnection;
    }

    /**
     * Returns the time since the transmission of the request started.
     *
     * @return The time since the first byte may have been sent, or zero if none has been sent.
     */
    public Duration sinceBegun() {
        return begun ? Duration.ofNanos(System.nanoTime() - begunAt) : Duration.ZERO;
    }

    /**
     * Returns whether the endpoint is considered to have been running when it received the request. The method is
     * called after the connection has ended.
     *
     * @return {@code false} if a pooled connection ended immediately.
     */
    public boolean reachedLivingEndpoint() {
        return newConnection || sinceBegun().compareTo(STALE_CONNECTION_DETECTION_TIMEOUT) >= 0;
    }

    /**
     * Describes the progress of the call for logs.
     *
     * @return The time since transmission started, and whether the connection is new.
     */
    public String describe() {
        return "after " + sinceBegun().toMillis() + " ms on a " + (newConnection ? "new" : "kept") + " connection";
    }

    /** Closes the connection so that no other request uses it. */
    public void closeConnection() {
        try {
            Optional<Socket> socket = connection.map(Connection::socket);
            if (socket.isPresent()) {
                socket.get().close();
            }
        } catch (IOException _exception) {
            // A connection that can't be closed is already unusable.
        }
    }

    /** {@inheritDoc} */
    @Override
    public void connectEnd(Call _call, InetSocketAddress _address, Proxy _proxy, Protocol _protocol) {
        newConnection = true;
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

    /** Passes each tracked request on at most once, on the thread that is about to write it. */
    static final class SingleSendInterceptor implements Interceptor {

        /** {@inheritDoc} */
        @Override
        public Response intercept(Chain chain) throws IOException {
            Transmission transmission = chain.call().request().tag(Transmission.class);
            if (transmission == null) {
                return chain.proceed(chain.request());
            }
            if (!transmission.passedOn.compareAndSet(false, true)) {
                throw new IOException("The request has already been sent.");
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

    /** Signals that a request was not sent because sending was no longer permitted. */
    static final class NotSentException extends IOException {

        /** The version of the serialised form. */
        private static final long serialVersionUID = 1;

        /** Creates the exception. */
        NotSentException() {
            super("The request must no longer be sent.");
        }
    }
}
