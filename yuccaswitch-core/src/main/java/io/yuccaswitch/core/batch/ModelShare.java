package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The engines of a pool that jobs of one model take before others: each model has every n-th, as all nodes work out
 * alike without a word. Jobs of several models that begin at the same moment, each at its own node, would else all take
 * the same engines before they hear of each other: 32 items were sent to each of ten engines of 8 places while 21 had
 * none.
 */
final class ModelShare {

    /** This class has no instances. */
    private ModelShare() {}

    /**
     * Returns the engines that jobs of a model take first.
     *
     * @param model The model.
     * @param models The models that the pool serves.
     * @param engines The working engines of the pool.
     * @return Their names.
     */
    static Set<EndpointName> of(String model, Set<String> models, List<RegisteredEndpoint> engines) {
        List<String> ordered = List.copyOf(new TreeSet<>(models));
        int position = ordered.indexOf(model);
        Set<EndpointName> share = new HashSet<>();
        List<EndpointName> names = engines.stream()
                .map(RegisteredEndpoint::name)
                .sorted(Comparator.naturalOrder())
                .toList();
        for (int i = 0; i < names.size(); i++) {
            if (position < 0 || i % ordered.size() == position) {
                share.add(names.get(i));
            }
        }
        return share;
    }
}
