package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.request.RequestId;

/**
 * A request in progress for a sample.
 *
 * @param id The identifier of the request.
 * @param key The identity of the group.
 * @param index The index of the sample in its group.
 * @param scoring {@code true} if the request scores the sample, {@code false} if it generates it.
 * @param pool The pool that serves the request.
 * @param oldestVersion The oldest version that the sample can have: what the engine last reported, or else the highest
 *     version that was published when the generation began.
 */
record Flight(RequestId id, GroupKey key, int index, boolean scoring, PoolName pool, long oldestVersion) {

    /**
     * Returns this flight after the engine reported the version that it began with.
     *
     * @param version The version.
     * @return The changed flight.
     */
    Flight withOldestVersion(long version) {
        return new Flight(id, key, index, scoring, pool, version);
    }
}
