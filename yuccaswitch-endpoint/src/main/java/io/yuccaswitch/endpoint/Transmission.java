package io.yuccaswitch.endpoint;

import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Watches one call, such that it can be told whether any byte of the request may have left, and makes sure that the
 * request is sent once at most: OkHttp sends a request again after some answers, whatever its settings.
 */
public final class Transmission extends EventListener {

    /** The header whose value of zero makes OkHttp send a request again. */
    private static final String RETRY_AFTER = "Retry-After";

    /** Says, right before the first byte, whether the request may still be sent. */
    private final BooleanSupplier maySend;

    /** Whether the request was let through to a connection. */
    private final AtomicBoolean admitted = new AtomicBoolean();

    /** Whether a byte of the request may have left. */
    private volatile boolean begun;

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
    public void connectionAcquired(Call _call, Connection acquired) {
        connection = Optional.of(acquired);
    }

    /** {@inheritDoc} */
    @Override
    public void requestHeadersStart(Call _call) {
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
