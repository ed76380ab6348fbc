package io.yuccaswitch.node.weight;

import io.yuccaswitch.core.weight.ModelRollout;
import io.yuccaswitch.core.weight.PublishedVersion;
import io.yuccaswitch.core.weight.VersionTable;
import io.yuccaswitch.core.weight.WeightTables;
import io.yuccaswitch.node.operator.StatusSection;
import java.util.List;

/**
 * The part of the status document that shows versions and, on the holder of a pool's lease, the progress of their
 * rollouts.
 */
public final class WeightStatus implements StatusSection {

    /** The newest versions. */
    private final VersionTable versions;

    /** The tables of pools and engines. */
    private final WeightTables tables;

    /**
     * Creates a new section.
     *
     * @param versions The newest versions.
     * @param tables The tables of pools and engines.
     */
    public WeightStatus(VersionTable versions, WeightTables tables) {
        this.versions = versions;
        this.tables = tables;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "weights";
    }

    /** {@inheritDoc} */
    @Override
    public Object content() {
        List<Version> published = versions.view().stream().map(Version::of).toList();
        List<Rollout> rollouts =
                ModelRollout.all(tables, versions).stream().map(Rollout::of).toList();
        return new Content(published, rollouts);
    }

    /**
     * The content of the section.
     *
     * @param published The newest version of each trainer that this node has recorded.
     * @param rollouts The rollouts of the newest versions in the pools whose leases this node holds.
     */
    record Content(List<Version> published, List<Rollout> rollouts) {}

    /**
     * A version.
     *
     * @param trainer The trainer.
     * @param version The version.
     * @param location The location of the weights in the weight store.
     */
    record Version(String trainer, long version, String location) {

        /**
         * Describes a version.
         *
         * @param published The version.
         * @return Its description.
         */
        static Version of(PublishedVersion published) {
            return new Version(published.trainer().value(), published.version(), published.location());
        }
    }

    /**
     * The progress of a version in a pool.
     *
     * @param pool The pool.
     * @param model The model.
     * @param version The newest version.
     * @param engines The number of reachable engines on which the model is placed.
     * @param current The number of these that reported the newest version when they were last read.
     * @param loading The number of these that may be loading the version.
     * @param failing The number of these on which the last load of the model failed.
     * @param uncertain The number of these whose version of the model is unknown.
     */
    record Rollout(
            String pool,
            String model,
            long version,
            int engines,
            int current,
            int loading,
            int failing,
            int uncertain) {

        /**
         * Describes a rollout.
         *
         * @param rollout The rollout.
         * @return Its description.
         */
        static Rollout of(ModelRollout rollout) {
            return new Rollout(
                    rollout.pool().value(),
                    rollout.model(),
                    rollout.version(),
                    rollout.engines(),
                    rollout.current(),
                    rollout.loading(),
                    rollout.failing(),
                    rollout.uncertain());
        }
    }
}
