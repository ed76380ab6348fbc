package io.yuccaswitch.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;

/** The control interface at {@code /control}, through which a test injects faults and reads counts. */
final class ControlRoutes {

    /** The field name of the list of VMs in documents. */
    private static final String VIRTUAL_MACHINES = "virtualMachines";

    /** The mapper of documents. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The stand-in that is controlled. */
    private final PlatformStandIn standIn;

    /** The objects. */
    private final VersionedObjects objects;

    /** The list of VMs. */
    private final LaggingList virtualMachines;

    /** The counts of calls. */
    private final CallCounts counts;

    /**
     * Creates the routes.
     *
     * @param standIn The stand-in that is controlled.
     * @param objects The objects.
     * @param virtualMachines The list of VMs.
     * @param counts The counts of calls.
     */
    ControlRoutes(PlatformStandIn standIn, VersionedObjects objects, LaggingList virtualMachines, CallCounts counts) {
        this.standIn = standIn;
        this.objects = objects;
        this.virtualMachines = virtualMachines;
        this.counts = counts;
    }

    /**
     * Wraps a list of VMs in the document that the object API returns.
     *
     * @param list The list.
     * @return The document.
     */
    static ObjectNode virtualMachineDocument(JsonNode list) {
        return JsonNodeFactory.instance.objectNode().set(VIRTUAL_MACHINES, list);
    }

    /**
     * Registers the routes.
     *
     * @param routes The routes of the server.
     */
    void register(RoutesConfig routes) {
        PlatformFaults faults = standIn.faults();
        routes.post("/control/outage", context -> faults.outage(Outage.valueOf(text(context, "mode"))));
        routes.post("/control/delay", context -> faults.delay(millis(context)));
        routes.post("/control/replica-lag", context -> faults.replicaLag(millis(context)));
        routes.post("/control/lose-answers", context -> faults.loseAnswers((int) number(context, "writes")));
        routes.post("/control/lose-requests", context -> faults.loseRequests((int) number(context, "writes")));
        routes.post(
                "/control/rate-limits",
                context -> standIn.limitRates(number(context, "writes"), number(context, "reads")));
        routes.post("/control/forget-changes", _context -> objects.forgetChanges());
        routes.put("/control/virtual-machines", this::replaceVirtualMachines);
        routes.get("/control/counts", context -> context.json(MAPPER.valueToTree(counts.snapshot())));
        routes.post("/control/reset-counts", _context -> counts.reset());
    }

    /**
     * Replaces the list of VMs, and changes its lag if the query specifies one.
     *
     * @param context The context of the call.
     * @throws IOException If the body is malformed.
     */
    private void replaceVirtualMachines(Context context) throws IOException {
        if (context.queryParam("lagMillis") != null) {
            virtualMachines.changeLag(Duration.ofMillis((long) number(context, "lagMillis")));
        }
        virtualMachines.replace(MAPPER.readTree(context.bodyAsBytes()).path(VIRTUAL_MACHINES));
    }

    /**
     * Returns a duration from the query.
     *
     * @param context The context of the call.
     * @return The duration.
     */
    private static Duration millis(Context context) {
        return Duration.ofMillis((long) number(context, "millis"));
    }

    /**
     * Returns a number from the query.
     *
     * @param context The context of the call.
     * @param name The parameter's name.
     * @return The number, or zero if the query does not contain it.
     */
    private static double number(Context context, String name) {
        String text = context.queryParam(name);
        return text == null ? 0 : Double.parseDouble(text);
    }

    /**
     * Returns a word from the query.
     *
     * @param context The context of the call.
     * @param name The parameter's name.
     * @return The word in upper case.
     */
    private static String text(Context context, String name) {
        return String.valueOf(context.queryParam(name)).toUpperCase(Locale.ROOT);
    }
}
