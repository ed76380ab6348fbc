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

/** Looks at regular intervals whether callers have gone, and then breaks off what is done for them. */
final class DisconnectWatch implements AutoCloseable {

    /** The interval, well below the half second after which an endpoint should be idle again. */
    private static final Duration INTERVAL = Duration.ofMillis(120);

    /** The requests in progress. */
    private final Set<Watched> watched =
            Collections.newSetFromMap(Collections.synchronizedMap(new IdentityHashMap<>()));

    /** The timer, which runs only while there are requests: an idle process should not wake for nothing. */
    private Disposable timer = Disposable.disposed();

    /**
     * Watches a request.
     *
     * @param connection The caller's connection.
     * @return The watched request.
     */
    Watched watch(ClientConnection connection) {
        Watched added = new Watched(connection);
        synchronized (watched) {
            watched.add(added);
            if (timer.isDisposed()) {
                timer = Observable.interval(INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
                        .subscribe(_tick -> look());
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

    /** Looks at all requests in progress. */
    private void look() {
        List<Watched> current;
        synchronized (watched) {
            current = List.copyOf(watched);
            if (current.isEmpty()) {
                timer.dispose();
            }
        }
        current.forEach(Watched::look);
    }

    /** A request whose caller is watched. */
    final class Watched implements AutoCloseable {

        /** The caller's connection. */
        private final ClientConnection connection;

        /** The call to an endpoint in progress, if any. */
        private volatile Call call;

        /** Whether the caller has gone. */
        private volatile boolean gone;

        /**
         * Creates a watched request.
         *
         * @param connection The caller's connection.
         */
        Watched(ClientConnection connection) {
            this.connection = connection;
        }

        /**
         * Notes the call that is to be broken off when the caller goes.
         *
         * @param current The call.
         */
        void attach(Call current) {
            call = current;
            if (gone) {
                current.cancel();
            }
        }

        /**
         * Returns whether the caller has gone.
         *
         * @return {@code true} if it has.
         */
        boolean isGone() {
            return gone;
        }

        /** Looks whether the caller has gone. */
        void look() {
            if (!gone && connection.isGone()) {
                gone = true;
                Call current = call;
                if (current != null) {
                    current.cancel();
                }
            }
        }

        @Override
        public void close() {
            watched.remove(this);
        }
    }
}
