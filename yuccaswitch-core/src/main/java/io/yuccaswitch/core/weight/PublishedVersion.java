package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.identity.TrainerName;

/**
 * A row of the table of versions: the newest version of a trainer at this node.
 *
 * @param trainer The trainer.
 * @param version The version.
 * @param location The location of the weights in the weight store.
 */
public record PublishedVersion(TrainerName trainer, long version, String location) {

    /**
     * Returns whether this version takes precedence over another one of the same trainer. Versions are compared first.
     * If the same version has two locations, which is an error of the trainer, the order of the locations decides, so
     * that all nodes agree.
     *
     * @param other The other version.
     * @return {@code true} if this version takes precedence.
     */
    public boolean isNewerThan(PublishedVersion other) {
        if (version != other.version) {
            return version > other.version;
        }
        return location.compareTo(other.location) > 0;
    }
}
