package io.yuccaswitch.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.EndpointEffect;
import io.yuccaswitch.core.endpoint.EndpointEvent;
import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.endpoint.LoadReport;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.HttpUrl;

/**
 * Asks endpoints for their state. There is one question to an endpoint at a time, so reports come in the order in which
 * they were made; a probe during another one is answered by the same report.
 *
 * <p>To wire it, subscribe {@link #probe} to the {@link EndpointEffect.Probe} effects.
 */
public final class LoadProber {

    /** The largest number of models that a report may name. */
    private static final int MAXIMUM_MODELS = 256;

    /** Reads documents. */
    private final ReportReader reader;

    /** Reads the monotonic clock of the decision core. */
    private final Supplier<MonotonicTime> clock;

    /** Takes the reports. */
    private final Consumer<? super Event> sink;

    /** The endpoints that are being asked. */
    private final Set<EndpointName> asked = ConcurrentHashMap.newKeySet();

    /**
     * Creates a new prober.
     *
     * @param http The HTTP client.
     * @param clock Reads the monotonic clock of the decision core.
     * @param sink Takes the reports.
     */
    public LoadProber(EndpointHttp http, Supplier<MonotonicTime> clock, Consumer<? super Event> sink) {
        reader = new ReportReader(http);
        this.clock = clock;
        this.sink = sink;
    }

    /**
     * Asks an endpoint for its state, without waiting for the answer.
     *
     * @param probe The endpoint to ask.
     */
    public void probe(EndpointEffect.Probe probe) {
        EndpointName endpoint = probe.endpoint();
        HttpUrl url = HttpUrl.parse("http://" + probe.address() + "/load");
        if (url == null) {
            sink.accept(new EndpointEvent.Unreachable(endpoint, "not an address: " + probe.address()));
            return;
        }
        if (!asked.add(endpoint)) {
            return;
        }
        reader.read(
                url,
                document -> {
                    EndpointEvent.Reported report = report(endpoint, document);
                    asked.remove(endpoint);
                    sink.accept(report);
                },
                reason -> {
                    asked.remove(endpoint);
                    sink.accept(new EndpointEvent.Unreachable(endpoint, reason));
                });
    }

    /**
     * Reads a load report.
     *
     * @param endpoint The endpoint.
     * @param document The report.
     * @return The event.
     * @throws AnswerException If the report makes no sense.
     */
    private EndpointEvent.Reported report(EndpointName endpoint, ObjectNode document) throws AnswerException {
        String incarnation = document.path("incarnation").asText();
        if (incarnation.isEmpty()) {
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        }
        LoadReport load = new LoadReport(
                clock.get(),
                count(document, "active"),
                count(document, "waiting"),
                count(document, "capacity"),
                Math.min(1, Math.max(0, document.path("cacheUse").asDouble())));
        return new EndpointEvent.Reported(
                endpoint,
                incarnation,
                load,
                versions(document.path("loadedVersions")),
                document.path("leaving").asBoolean());
    }

    /**
     * Reads a count.
     *
     * @param document The report.
     * @param key The key.
     * @return The count, never negative.
     */
    private static int count(ObjectNode document, String key) {
        return Math.max(0, document.path(key).asInt());
    }

    /**
     * Reads the weight versions.
     *
     * @param node The versions by model or adapter.
     * @return The versions.
     * @throws AnswerException If there are too many.
     */
    private static Map<String, Long> versions(JsonNode node) throws AnswerException {
        Map<String, Long> versions = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            if (entry.getValue().isIntegralNumber()) {
                versions.put(entry.getKey(), entry.getValue().asLong());
            }
        }
        if (versions.size() > MAXIMUM_MODELS) {
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        }
        return versions;
    }
}
