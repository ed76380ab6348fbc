package io.yuccaswitch.node.gateway;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Predicate;
import okhttp3.Response;

/** Passes the events of a stream on to a caller, each only when it is whole, across several attempts. */
final class EventRelay {

    /** How endpoints speak. */
    private final EndpointDialect dialect;

    /** The caller. */
    private final CallerResponse caller;

    /** Whether a header is passed on. */
    private final Predicate<String> passes;

    /** Whether the answer has begun. */
    private boolean begun;

    /** The identifier of the last event that was passed on, if any. */
    private Optional<Long> lastEventId = Optional.empty();

    /**
     * Creates a relay.
     *
     * @param dialect How endpoints speak.
     * @param caller The caller.
     * @param passes Whether a header is passed on.
     */
    EventRelay(EndpointDialect dialect, CallerResponse caller, Predicate<String> passes) {
        this.dialect = dialect;
        this.caller = caller;
        this.passes = passes;
    }

    /**
     * Returns whether the answer has begun.
     *
     * @return {@code true} if the caller has seen its head.
     */
    boolean hasBegun() {
        return begun;
    }

    /**
     * Returns the identifier of the last event that was passed on.
     *
     * @return The identifier, or empty before the first event.
     */
    Optional<Long> lastEventId() {
        return lastEventId;
    }

    /**
     * Passes the events of an attempt on.
     *
     * @param response The attempt's answer.
     * @return Whether the stream ended whole.
     * @throws CallerGoneException If the caller has gone.
     */
    boolean relay(Response response) throws CallerGoneException {
        ServerSentEvents events = new ServerSentEvents(response.body().source(), dialect);
        while (true) {
            Optional<ServerSentEvents.Event> event;
            try {
                event = events.next();
            } catch (IOException _exception) {
                return false;
            }
            try {
                begin(response);
                if (event.isEmpty()) {
                    caller.end();
                    return true;
                }
                if (isNext(event.get())) {
                    caller.write(event.get().toBytes());
                    event.get().id().ifPresent(id -> lastEventId = Optional.of(id));
                } else {
                    return false;
                }
            } catch (IOException exception) {
                throw new CallerGoneException(exception);
            }
        }
    }

    /**
     * Begins the answer, with the head of the first attempt.
     *
     * @param response The attempt's answer.
     */
    private void begin(Response response) {
        if (!begun) {
            begun = true;
            caller.begin(response.code(), response.headers(), passes);
        }
    }

    /**
     * Returns whether an event goes on where the last one ended.
     *
     * @param event The event.
     * @return {@code false} if an event is missing or comes twice.
     */
    private boolean isNext(ServerSentEvents.Event event) {
        return lastEventId.isEmpty() || event.id().isEmpty() || event.id().getAsLong() == lastEventId.get() + 1;
    }

    /** Tells that the caller has gone. */
    static final class CallerGoneException extends Exception {

        /** The version of the serialised form. */
        private static final long serialVersionUID = 1;

        /**
         * Creates the exception.
         *
         * @param cause What writing to the caller met.
         */
        CallerGoneException(IOException cause) {
            super(cause);
        }
    }
}
