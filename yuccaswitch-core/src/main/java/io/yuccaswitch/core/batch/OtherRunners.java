package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * What other nodes that run jobs have at the engines and still have to place, as they told it. Jobs of one trainer that
 * overlap usually run on different nodes: without this, each sees places that the other has taken and learns of them by
 * refusals, and the items of the later job take places that the earlier one waits for.
 */
final class OtherRunners {

    /** For how long what a node told counts: a few times the interval at which nodes tell. */
    private static final Duration VALIDITY = Duration.ofMillis(500);

    /** What each node told last. */
    private final Map<NodeName, Told> told = new HashMap<>();

    /**
     * Takes what a node told.
     *
     * @param node The node.
     * @param message What it told.
     * @param now The present.
     */
    void take(NodeName node, BatchMessage.EnginesInUse message, MonotonicTime now) {
        told.put(node, new Told(message, now));
    }

    /**
     * Forgets what was told too long ago.
     *
     * @param now The present.
     */
    void forget(MonotonicTime now) {
        told.values().removeIf(known -> now.since(known.at()).compareTo(VALIDITY) > 0);
    }

    /**
     * Returns the nodes that told something lately.
     *
     * @return The nodes.
     */
    Collection<NodeName> nodes() {
        return told.keySet();
    }

    /**
     * Returns how many items others have in progress at an engine.
     *
     * @param engine The engine.
     * @return The number.
     */
    int running(EndpointName engine) {
        int count = 0;
        for (Told known : told.values()) {
            count += known.message().running().getOrDefault(engine, 0);
        }
        return count;
    }

    /**
     * Returns how many items of earlier jobs wait for places at other nodes.
     *
     * @param model The model.
     * @param submittedAt When the job that asks was submitted, in milliseconds of the time of day.
     * @return The number.
     */
    int waitingBefore(String model, long submittedAt) {
        int count = 0;
        for (Told known : told.values()) {
            for (BatchMessage.Demand demand : known.message().demands()) {
                count += demand.model().equals(model) && demand.submittedAt() < submittedAt ? demand.waiting() : 0;
            }
        }
        return count;
    }

    /**
     * What a node told.
     *
     * @param message What it told.
     * @param at When it arrived.
     */
    private record Told(BatchMessage.EnginesInUse message, MonotonicTime at) {}
}
