package io.yuccaswitch.testkit.platform;

import java.util.Optional;

/** The result of a conditional write or deletion. */
sealed interface WriteResult {

    /**
     * The write took effect.
     *
     * @param version The object's new version.
     */
    record Applied(long version) implements WriteResult {}

    /**
     * The condition did not hold.
     *
     * @param current The current object, or empty if it does not exist.
     */
    record Refused(Optional<Revision> current) implements WriteResult {}
}
