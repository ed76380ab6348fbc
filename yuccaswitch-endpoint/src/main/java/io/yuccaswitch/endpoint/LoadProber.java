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
 * Requests load reports from endpoints. There is at most one request to an endpoint at a time, so that its reports
 * arrive in the order in which they were created. A probe during another one is answered by the same report.
 *
 * <p>To wire it, subscribe {@link #probe} to the {@link EndpointEffect.Probe} effects.
 */
public final class LoadProber {

    /** The maximum number of models in a report. */
    private static final int MAXIMUM_MODELS = 256;

    /** Fetches JSON documents from endpoints. */
    private final ReportReader reader;

    /** Reads the monotonic clock of the decision core. */
    private final Supplier<MonotonicTime> clock;

    /** Receives the reports. */
    private final Consumer<? super Event> sink;

    /** The endpoints with a request in progress. */
    private final Set<EndpointName> inFlight = ConcurrentHashMap.newKeySet();

    /**
     * Creates a new prober.
     *
     * @param http The HTTP client.
     * @param clock Reads the monotonic clock of the decision core.
     * @param sink Receives the reports.
     */
    public LoadProber(EndpointHttp http, Supplier<MonotonicTime> clock, Consumer<? super Event> sink) {
        reader = new ReportReader(http);
        this.clock = clock;
        this.sink = sink;
    }

    /**
     * Requests the load report of an endpoint without waiting for the answer.
     *
     * @param probe The endpoint to probe.
     */
    public void probe(EndpointEffect.Probe probe) {
        EndpointName endpoint = probe.endpoint();
        HttpUrl url = HttpUrl.parse("http://" + probe.address() + "/load");
        if (url == null) {
            sink.accept(new EndpointEvent.Unreachable(endpoint, "invalid address: " + probe.address()));
            return;
        }
        if (!inFlight.add(endpoint)) {
            return;
        }
        reader.read(
                url,
                document -> {
                    EndpointEvent.Reported report = report(endpoint, document);
                    inFlight.remove(endpoint);
                    sink.accept(report);
                },
                reason -> {
                    inFlight.remove(endpoint);
                    sink.accept(new EndpointEvent.Unreachable(endpoint, reason));
                });
    }

    /**
     * Converts a load report into an event.
     *
     * @param endpoint The endpoint.
     * @param document The report.
     * @return The event.
     * @throws AnswerException If the report is malformed.
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
     * Returns a count of a report.
     *
     * @param document The report.
     * @param key The key.
     * @return The count, never negative.
     */
    private static int count(ObjectNode document, String key) {
        return Math.max(0, document.path(key).asInt());
    }

    /**
     * Parses the loaded weight versions.
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
