package io.yuccaswitch.node.weight;

import io.yuccaswitch.core.weight.ModelRollout;
import io.yuccaswitch.core.weight.PublishedVersion;
import io.yuccaswitch.core.weight.VersionTable;
import io.yuccaswitch.core.weight.WeightTables;
import io.yuccaswitch.node.operator.StatusSection;
import java.util.List;

/** The part of the status document that shows versions and, on the holder of a pool's lease, how far they have come. */
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
     * @param published The newest version of each trainer that this node knows.
     * @param rollouts How far the newest versions have come in the pools whose leases this node holds.
     */
    record Content(List<Version> published, List<Rollout> rollouts) {}

    /**
     * A version.
     *
     * @param trainer The trainer.
     * @param version The version.
     * @param location The place of the weights in the weight store.
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
     * How far a version has come in a pool.
     *
     * @param pool The pool.
     * @param model The model.
     * @param version The newest version.
     * @param engines The number of engines that are to hold the model and can be reached.
     * @param current The number of these that were read back to hold the newest version.
     * @param loading The number of these that may be loading.
     * @param failing The number of these on which the model failed last.
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
