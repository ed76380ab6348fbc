package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;

/** Checks at regular intervals whether callers have disconnected, and cancels their calls to endpoints. */
final class DisconnectWatch implements AutoCloseable {

    /** The interval of the checks, well below the half second within which an endpoint should be idle again. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(120);

    /** The requests in progress. */
    private final Set<WatchedRequest> watched =
            Collections.newSetFromMap(Collections.synchronizedMap(new IdentityHashMap<>()));

    /** The timer, which runs only while there are requests, so that an idle process does not wake up needlessly. */
    private Disposable timer = Disposable.disposed();

    /**
     * Watches a request.
     *
     * @param connection The caller's connection.
     * @return The watched request.
     */
    WatchedRequest watch(ClientConnection connection) {
        WatchedRequest added = new WatchedRequest(connection);
        synchronized (watched) {
            watched.add(added);
            if (timer.isDisposed()) {
                timer = Observable.interval(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
                        .subscribe(_tick -> poll());
            }
        }
        return added;
    }

    @Override
    public void close() {
        synchronized (watched) {
            timer.dispose();
        }
    }

    /** Checks all requests in progress. */
    private void poll() {
        List<WatchedRequest> current;
        synchronized (watched) {
            current = List.copyOf(watched);
            if (current.isEmpty()) {
                timer.dispose();
            }
        }
        current.forEach(WatchedRequest::poll);
    }

    /** A request whose caller is checked for disconnection. */
    final class WatchedRequest implements AutoCloseable {

        /** The caller's connection. */
        private final ClientConnection connection;

        /** The call to an endpoint in progress, if any. */
        private volatile Call call;

        /** Whether the caller has disconnected. */
        private volatile boolean disconnected;

        /** Runs when the caller disconnects. */
        private volatile Runnable onDisconnect = () -> {};

        /**
         * Creates a watched request.
         *
         * @param connection The caller's connection.
         */
        WatchedRequest(ClientConnection connection) {
            this.connection = connection;
        }

        /**
         * Records the call to cancel when the caller disconnects.
         *
         * @param current The call.
         */
        void attach(Call current) {
            call = current;
            if (disconnected) {
                current.cancel();
            }
        }

        /**
         * Sets what runs when the caller disconnects while its request waits. It replaces an earlier action, and runs
         * on the thread of the checks.
         *
         * @param action The action.
         */
        void onDisconnect(Runnable action) {
            onDisconnect = action;
            if (disconnected) {
                action.run();
            }
        }

        /**
         * Returns whether the caller has disconnected.
         *
         * @return {@code true} if it has.
         */
        boolean isDisconnected() {
            return disconnected;
        }

        /** Checks whether the caller has disconnected. */
        void poll() {
            if (!disconnected && connection.isDisconnected()) {
                disconnected = true;
                Call current = call;
                if (current != null) {
                    current.cancel();
                }
                onDisconnect.run();
            }
        }

        @Override
        public void close() {
            watched.remove(this);
        }
    }
}
