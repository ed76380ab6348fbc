package io.yuccaswitch.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.EndpointEffect;
import io.yuccaswitch.core.endpoint.EndpointEvent;
import io.yuccaswitch.core.identity.EndpointName;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import okhttp3.HttpUrl;

/**
 * Polls engines for changes of their prefix caches. Unreadable answers are ignored, since the events are only hints.
 *
 * <p>To wire it, subscribe {@link #poll} to the {@link EndpointEffect.ReadCacheEvents} effects.
 */
public final class CacheEventPoller {

    /** The time for which the position of an endpoint is retained after its last use. */
    private static final Duration POSITION_RETENTION = Duration.ofMinutes(10);

    /** The maximum number of events that are processed from one answer. */
    private static final int MAXIMUM_EVENTS = 4096;

    /** Fetches JSON documents from endpoints. */
    private final ReportReader reader;

    /** Receives the events. */
    private final Consumer<? super Event> sink;

    /** The position after the last event that was read from each endpoint. */
    private final Cache<EndpointName, Position> positions =
            CacheBuilder.newBuilder().expireAfterAccess(POSITION_RETENTION).build();

    /** The endpoints with a request in progress. */
    private final Set<EndpointName> inFlight = ConcurrentHashMap.newKeySet();

    /**
     * Creates a new poller.
     *
     * @param http The HTTP client.
     * @param sink Receives the events.
     */
    public CacheEventPoller(EndpointHttp http, Consumer<? super Event> sink) {
        reader = new ReportReader(http);
        this.sink = sink;
    }

    /**
     * Requests the latest events of an endpoint without waiting for the answer.
     *
     * @param effect The endpoint to poll.
     */
    public void poll(EndpointEffect.ReadCacheEvents effect) {
        EndpointName endpoint = effect.endpoint();
        HttpUrl base = HttpUrl.parse("http://" + effect.address() + "/cache-events");
        if (base == null || !inFlight.add(endpoint)) {
            return;
        }
        Position position =
                Optional.ofNullable(positions.getIfPresent(endpoint)).orElse(Position.START);
        HttpUrl url = base.newBuilder()
                .addQueryParameter("after", Long.toString(position.sequence()))
                .build();
        reader.read(
                url,
                document -> {
                    process(endpoint, position, document);
                    inFlight.remove(endpoint);
                },
                _reason -> inFlight.remove(endpoint));
    }

    /**
     * Processes an answer.
     *
     * @param endpoint The endpoint.
     * @param position The position before this answer.
     * @param document The answer.
     */
    private void process(EndpointName endpoint, Position position, ObjectNode document) {
        String incarnation = document.path("incarnation").asText();
        if (!position.incarnation().isEmpty() && !position.incarnation().equals(incarnation)) {
            positions.put(endpoint, new Position(incarnation, 0));
            return;
        }
        long lastSequence = position.sequence();
        int processed = 0;
        for (JsonNode event : document.path("events")) {
            if (processed++ >= MAXIMUM_EVENTS) {
                break;
            }
            lastSequence = Math.max(lastSequence, event.path("sequence").asLong());
            sink.accept(new EndpointEvent.PrefixCached(
                    endpoint,
                    event.path("prefixHash").asLong(),
                    event.path("cached").asBoolean()));
        }
        positions.put(endpoint, new Position(incarnation, lastSequence));
    }

    /**
     * The position after the last event that was read.
     *
     * @param incarnation The endpoint's incarnation, or an empty string if nothing has been read yet.
     * @param sequence The sequence number of the event.
     */
    private record Position(String incarnation, long sequence) {

        /** The position before the first event. */
        static final Position START = new Position("", 0);
    }
}
