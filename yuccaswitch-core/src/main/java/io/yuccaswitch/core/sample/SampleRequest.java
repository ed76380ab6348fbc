package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.request.RequestId;

/**
 * * A generation or scoring request in progress for a sample.
 *
 * @param id The identifier of the request.
 * @param key The identity of the group.
 * @param index The index of the sample in its group.
 * @param scoring {@code true} if the request scores the sample, {@code false} if it generates it.
 * @param pool The pool that serves the request.
 * @param oldestVersion The oldest weight version that the sample can have: the version of the first segment that the
 *     engine reported, or else the newest version that engines could hold when the generation began.
 */
record SampleRequest(RequestId id, GroupKey key, int index, boolean scoring, PoolName pool, long oldestVersion) {

    /**
     * Returns this request after the engine reported the version with which the generation began.
     *
     * @param version The version.
     * @return The changed request.
     */
    SampleRequest withOldestVersion(long version) {
        return new SampleRequest(id, key, index, scoring, pool, version);
    }
}
