package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import java.util.Map;
import java.util.Optional;

/**
 * The whole configuration of a site, as operators write it and as it is in force on every node.
 *
 * @param site The name of the site.
 * @param availabilityZones The availability zones of the site by their names.
 * @param pools The pools of endpoints by their names.
 * @param callers The callers by their names.
 * @param trainers The trainers by their names.
 * @param weightStore The store that engines load weights from.
 * @param entry How entry addresses are given to callers.
 * @param membership How nodes keep track of each other.
 * @param lease How leases are held.
 */
public record FleetConfiguration(
        @Setting(description = "The name of the site.") String site,
        @Setting(description = "The availability zones of the site by their names.")
                Map<AvailabilityZone, ZoneSettings> availabilityZones,
        @Setting(description = "The pools of endpoints by their names.") Map<PoolName, PoolSettings> pools,
        @Setting(description = "The callers by their names.") Map<CallerName, CallerSettings> callers,
        @Setting(description = "The trainers by their names.") Map<TrainerName, TrainerSettings> trainers,
        @Setting(description = "The store that engines load weights from.") Optional<WeightStoreSettings> weightStore,
        @Setting(description = "How entry addresses are given to callers.") EntrySettings entry,
        @Setting(description = "How nodes keep track of each other.") MembershipSettings membership,
        @Setting(description = "How leases are held.") LeaseSettings lease) {

    /** Copies the collections. */
    public FleetConfiguration {
        availabilityZones = Map.copyOf(availabilityZones);
        pools = Map.copyOf(pools);
        callers = Map.copyOf(callers);
        trainers = Map.copyOf(trainers);
    }
}
