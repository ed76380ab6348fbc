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
 * Reads what changes in the prefix caches of engines. What can't be read is left out: the events are only hints.
 *
 * <p>To wire it, subscribe {@link #poll} to the {@link EndpointEffect.ReadCacheEvents} effects.
 */
public final class CacheEventPoller {

    /** The time after which an endpoint that is no longer asked is forgotten. */
    private static final Duration FORGET_AFTER = Duration.ofMinutes(10);

    /** The largest number of events that are taken from one answer. */
    private static final int MAXIMUM_EVENTS = 4096;

    /** Reads documents. */
    private final ReportReader reader;

    /** Takes the events. */
    private final Consumer<? super Event> sink;

    /** The last event that was read of each endpoint. */
    private final Cache<EndpointName, Position> positions =
            CacheBuilder.newBuilder().expireAfterAccess(FORGET_AFTER).build();

    /** The endpoints that are being asked. */
    private final Set<EndpointName> asked = ConcurrentHashMap.newKeySet();

    /**
     * Creates a new poller.
     *
     * @param http The HTTP client.
     * @param sink Takes the events.
     */
    public CacheEventPoller(EndpointHttp http, Consumer<? super Event> sink) {
        reader = new ReportReader(http);
        this.sink = sink;
    }

    /**
     * Reads the latest events of an endpoint, without waiting for the answer.
     *
     * @param effect The endpoint to ask.
     */
    public void poll(EndpointEffect.ReadCacheEvents effect) {
        EndpointName endpoint = effect.endpoint();
        HttpUrl base = HttpUrl.parse("http://" + effect.address() + "/cache-events");
        if (base == null || !asked.add(endpoint)) {
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
                    take(endpoint, position, document);
                    asked.remove(endpoint);
                },
                _reason -> asked.remove(endpoint));
    }

    /**
     * Takes in an answer.
     *
     * @param endpoint The endpoint.
     * @param position The last event that was read before.
     * @param document The answer.
     */
    private void take(EndpointName endpoint, Position position, ObjectNode document) {
        String incarnation = document.path("incarnation").asText();
        if (!position.incarnation().isEmpty() && !position.incarnation().equals(incarnation)) {
            positions.put(endpoint, new Position(incarnation, 0));
            return;
        }
        long last = position.sequence();
        int taken = 0;
        for (JsonNode event : document.path("events")) {
            if (taken++ >= MAXIMUM_EVENTS) {
                break;
            }
            last = Math.max(last, event.path("sequence").asLong());
            sink.accept(new EndpointEvent.PrefixCached(
                    endpoint,
                    event.path("prefixHash").asLong(),
                    event.path("cached").asBoolean()));
        }
        positions.put(endpoint, new Position(incarnation, last));
    }

    /**
     * The last event that was read.
     *
     * @param incarnation The endpoint's incarnation, or an empty text if nothing was read yet.
     * @param sequence The number of the event.
     */
    private record Position(String incarnation, long sequence) {

        /** The position before the first event. */
        static final Position START = new Position("", 0);
    }
}
