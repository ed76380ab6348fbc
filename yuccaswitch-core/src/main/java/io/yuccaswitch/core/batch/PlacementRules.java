package io.yuccaswitch.core.batch;

import java.util.ArrayList;
import java.util.List;

/** Creates the placement rules that the options of a node ask for. */
final class PlacementRules {

    /** This class has no instances. */
    private PlacementRules() {}

    /**
     * Creates the rules.
     *
     * @param state The tables of the batch system.
     * @return The rules, which are none by default.
     */
    static List<PlacementRule> of(BatchState state) {
        List<PlacementRule> rules = new ArrayList<>();
        if (state.options().sharedSpeeds()) {
            rules.add(new EngineSpeedRule(state));
        }
        if (state.options().engineMemory()) {
            rules.add(new EngineMemoryRule(state));
        }
        return List.copyOf(rules);
    }
}
