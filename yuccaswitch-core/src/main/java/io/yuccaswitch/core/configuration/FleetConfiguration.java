package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import java.util.Map;
import java.util.Optional;

/**
 * The complete configuration of a site, as written by operators and as active on every node.
 *
 * @param site The name of the site.
 * @param availabilityZones The availability zones of the site by their names.
 * @param pools The pools of endpoints by their names.
 * @param callers The callers by their names.
 * @param trainers The trainers by their names.
 * @param weightStore The store from which engines load weights.
 * @param entry The settings of entry addresses and requests at the entry.
 * @param membership The settings of membership and failure detection.
 * @param lease The settings of leases.
 */
public record FleetConfiguration(
        @Setting(description = "The name of the site.") String site,
        @Setting(description = "The availability zones of the site by their names.")
                Map<AvailabilityZone, ZoneSettings> availabilityZones,
        @Setting(description = "The pools of endpoints by their names.") Map<PoolName, PoolSettings> pools,
        @Setting(description = "The callers by their names.") Map<CallerName, CallerSettings> callers,
        @Setting(description = "The trainers by their names.") Map<TrainerName, TrainerSettings> trainers,
        @Setting(description = "The store from which engines load weights.") Optional<WeightStoreSettings> weightStore,
        @Setting(description = "The settings of entry addresses and requests at the entry.") EntrySettings entry,
        @Setting(description = "The settings of membership and failure detection.") MembershipSettings membership,
        @Setting(description = "The settings of leases.") LeaseSettings lease) {

    /** Copies the collections. */
    public FleetConfiguration {
        availabilityZones = Map.copyOf(availabilityZones);
        pools = Map.copyOf(pools);
        callers = Map.copyOf(callers);
        trainers = Map.copyOf(trainers);
    }
}
