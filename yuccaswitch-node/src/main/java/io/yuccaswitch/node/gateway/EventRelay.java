package io.yuccaswitch.node.gateway;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Predicate;
import okhttp3.Response;

/** Forwards the events of a stream to a caller across several attempts, each event only when it is complete. */
final class EventRelay {

    /** The dialect of endpoints. */
    private final EndpointDialect dialect;

    /** The caller. */
    private final CallerResponse caller;

    /** Selects the headers that are forwarded. */
    private final Predicate<String> headerFilter;

    /** Whether the answer has started. */
    private boolean begun;

    /** The identifier of the last forwarded event, if any. */
    private Optional<Long> lastEventId = Optional.empty();

    /**
     * Creates a relay.
     *
     * @param dialect The dialect of endpoints.
     * @param caller The caller.
     * @param headerFilter Selects the headers that are forwarded.
     */
    EventRelay(EndpointDialect dialect, CallerResponse caller, Predicate<String> headerFilter) {
        this.dialect = dialect;
        this.caller = caller;
        this.headerFilter = headerFilter;
    }

    /**
     * Returns whether the answer has started.
     *
     * @return {@code true} if its status and headers were sent to the caller.
     */
    boolean hasBegun() {
        return begun;
    }

    /**
     * Returns the identifier of the last forwarded event.
     *
     * @return The identifier, or empty before the first event.
     */
    Optional<Long> lastEventId() {
        return lastEventId;
    }

    /**
     * Forwards the events of an attempt.
     *
     * @param response The attempt's answer.
     * @return {@code true} if the stream was complete.
     * @throws CallerGoneException If the caller has disconnected.
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
     * Starts the answer with the status and headers of the first attempt.
     *
     * @param response The attempt's answer.
     */
    private void begin(Response response) {
        if (!begun) {
            begun = true;
            caller.begin(response.code(), response.headers(), headerFilter);
        }
    }

    /**
     * Returns whether an event directly follows the last one.
     *
     * @param event The event.
     * @return {@code false} if an event is missing or repeated.
     */
    private boolean isNext(ServerSentEvents.Event event) {
        return lastEventId.isEmpty() || event.id().isEmpty() || event.id().getAsLong() == lastEventId.get() + 1;
    }

    /** Indicates that the caller has disconnected. */
    static final class CallerGoneException extends Exception {

        /** The version of the serialised form. */
        private static final long serialVersionUID = 1;

        /**
         * Creates the exception.
         *
         * @param cause The failure of writing to the caller.
         */
        CallerGoneException(IOException cause) {
            super(cause);
        }
    }
}
