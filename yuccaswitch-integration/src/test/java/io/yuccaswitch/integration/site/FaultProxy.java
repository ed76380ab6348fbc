package io.yuccaswitch.integration.site;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The fault-injecting proxy: one listener for each endpoint, and one to the platform for each node. */
public final class FaultProxy {

    private final Map<String, String> listeners = new HashMap<>();

    void start(Collection<Site.StandIn> standIns, int nodes) {
        standIns.forEach(standIn -> listeners.put(standIn.name(), standIn.address()));
        for (int index = 0; index < nodes; index++) {
            listeners.put("platform-" + index, listeners.get("platform"));
        }
    }

    String addressOf(String name) {
        return listeners.get(name);
    }

    String platformAddress(int index) {
        return listeners.get("platform-" + index);
    }
}
