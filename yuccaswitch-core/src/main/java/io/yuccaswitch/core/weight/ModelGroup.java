package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.identity.TrainerName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Models that are held by the same engines: a base model and the adapters that are loaded on top of it. An adapter's
 * name consists of the name of its base, a plus sign and a name of its own, such as {@code matcher+invoices}.
 *
 * @param base The name of the base model, which need not have a trainer.
 * @param models The models that have trainers, the base before its adapters.
 */
record ModelGroup(String base, List<Model> models) {

    /** The separator between the name of a base and the name of an adapter. */
    private static final char ADAPTER_SEPARATOR = '+';

    /** Copies and orders the models. */
    ModelGroup {
        models = models.stream()
                .sorted(Comparator.comparing(Model::isAdapter)
                        .thenComparing(Model::name)
                        .thenComparing(Model::trainer))
                .toList();
    }

    /**
     * Groups models by their bases.
     *
     * @param models The models.
     * @return The groups, ordered by the names of their bases.
     */
    static List<ModelGroup> group(List<Model> models) {
        Map<String, List<Model>> byBase = new TreeMap<>();
        for (Model model : models) {
            byBase.computeIfAbsent(model.base(), _base -> new ArrayList<>()).add(model);
        }
        return byBase.entrySet().stream()
                .map(entry -> new ModelGroup(entry.getKey(), entry.getValue()))
                .toList();
    }

    /**
     * Returns the weight by which the group's share of the engines is computed.
     *
     * @return The sum of the weights of its trainers.
     */
    int weight() {
        return models.stream().mapToInt(Model::weight).sum();
    }

    /**
     * A model or adapter that a trainer trains.
     *
     * @param trainer The trainer.
     * @param name The model's name at the engines.
     * @param weight The weight by which the trainer's share of the engines is computed.
     */
    record Model(TrainerName trainer, String name, int weight) {

        /**
         * Returns whether this is an adapter.
         *
         * @return {@code true} if this is an adapter.
         */
        boolean isAdapter() {
            return name.indexOf(ADAPTER_SEPARATOR) > 0;
        }

        /**
         * Returns the name of the base model.
         *
         * @return The name of the base model, which is the model's own name if it is not an adapter.
         */
        String base() {
            return isAdapter() ? name.substring(0, name.indexOf(ADAPTER_SEPARATOR)) : name;
        }
    }
}
