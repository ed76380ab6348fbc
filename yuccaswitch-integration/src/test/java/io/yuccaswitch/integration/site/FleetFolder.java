package io.yuccaswitch.integration.site;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Builds and writes the configuration folder of the fleet. */
final class FleetFolder {

    static final String ENGINE_POOL = "matcher-lm";

    static final String SERVICE_POOL = "ledger-app";

    static final String SCORER_POOL = "scorer";

    static final String TRAINER = "matcher";

    private final SiteShape shape;

    private final ObjectNode root = JsonNodeFactory.instance.objectNode();

    FleetFolder(SiteShape shape) {
        this.shape = shape;
        root.put("site", "padma-small");
        ObjectNode zones = root.putObject("availabilityZones");
        shape.availabilityZones().forEach(zones::putObject);
        root.putObject("callers").putObject("treasury").put("priority", "urgent");
        root.putObject("entry")
                .put("addressValidity", shape.addressValidity().toMillis() + "ms")
                .put("answerRetention", "2m");
        root.putObject("membership");
        root.putObject("lease").put("duration", "3s").put("safetyMargin", "500ms");
    }

    /** Adds a pool with the given endpoint addresses by endpoint name. */
    ObjectNode pool(String name, String kind, Map<String, String> endpoints) {
        ObjectNode pool = root.withObject("/pools").putObject(name).put("kind", kind);
        int index = 0;
        for (Map.Entry<String, String> endpoint : endpoints.entrySet()) {
            String zone = shape.availabilityZones()
                    .get(index++ % shape.availabilityZones().size());
            pool.withObject("/endpoints")
                    .putObject(endpoint.getKey())
                    .put("address", endpoint.getValue())
                    .put("availabilityZone", zone);
        }
        return pool;
    }

    void trainer(int stalenessBound) {
        root.withObject("/trainers")
                .putObject(TRAINER)
                .put("pool", ENGINE_POOL)
                .put("model", TRAINER)
                .put("stalenessBound", stalenessBound)
                .put("scorer", SCORER_POOL);
    }

    void weightStore(String address) {
        root.putObject("weightStore").put("address", address);
    }

    void callerWeight(int weight) {
        root.withObject("/callers/treasury").put("weight", weight);
    }

    Path write(Path folder) {
        try {
            Files.createDirectories(folder);
            return Files.writeString(folder.resolve("10-site.json"), root.toPrettyString())
                    .getParent();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
