package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The engines of a pool that jobs of one model prefer: with n models, each model has every n-th engine, which all nodes
 * compute alike without communication. Otherwise, jobs of several models that start at the same moment, each at its own
 * node, would all choose the same engines before they receive reports from each other: 32 items were sent to each of
 * ten engines with 8 slots while 21 engines had none.
 */
final class ModelShare {

    /** This class has no instances. */
    private ModelShare() {}

    /**
     * Returns the engines that jobs of a model prefer.
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
