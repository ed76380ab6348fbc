package io.yuccaswitch.core.admission;

import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;

/**
 * The state of a pool outside its queue.
 *
 * @param working The endpoints that accept new work.
 * @param nodes The number of working nodes, which send requests to the same endpoints.
 * @param now The current time.
 */
public record PoolSituation(List<RegisteredEndpoint> working, int nodes, MonotonicTime now) {

    /** Copies the endpoints. */
    public PoolSituation {
        working = List.copyOf(working);
        nodes = Math.max(1, nodes);
    }
}
