package io.yuccaswitch.integration.site;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The fault-injecting proxy: one link to each endpoint, and one to the platform for each node. */
public final class FaultProxy {

    private static final int HEAP_MEGABYTES = 96;

    private final Map<String, String> links = new LinkedHashMap<>();

    private String control = "";

    /** Starts the proxy with a link to each stand-in. */
    ManagedProcess start(Path folder, Collection<Site.StandIn> standIns, int nodes) {
        int port = Ports.reserve();
        control = "127.0.0.1:" + port;
        List<String> arguments = new ArrayList<>(List.of("proxy", "--port", Integer.toString(port)));
        for (Site.StandIn standIn : standIns) {
            addLink(arguments, standIn.name(), standIn.address());
            if (standIn.name().equals("platform")) {
                for (int index = 0; index < nodes; index++) {
                    addLink(arguments, "platform-" + index, standIn.address());
                }
            }
        }
        ManagedProcess process = ManagedProcess.java("proxy", folder, HEAP_MEGABYTES, Jars.testkit(), arguments);
        process.awaitLog("listening address=");
        return process;
    }

    private void addLink(List<String> arguments, String name, String target) {
        int port = Ports.reserve();
        links.put(name, "127.0.0.1:" + port);
        arguments.add("--link");
        arguments.add(name + "=" + port + ":" + target);
    }

    /** Returns the address of the link to an endpoint. */
    public String addressOf(String name) {
        return links.get(name);
    }

    String platformAddress(int index) {
        return links.get("platform-" + index);
    }

    /** Applies faults to a link, such as {@code mode=blackhole&delayMillis=20}; an empty query heals it. */
    public void fault(String link, String query) {
        Http.post(control, "/links/" + link + "/faults?" + query, "");
    }

    public void cutConnections(String link) {
        Http.post(control, "/links/" + link + "/cut-connections", "");
    }
}
