package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Event;
import java.util.List;
import java.util.Optional;

/** The answer to a call to the platform. */
public sealed interface PlatformEvent extends Event {

    /**
     * Returns the token of the call.
     *
     * @return The token of the call.
     */
    long token();

    /**
     * An object was read.
     *
     * @param token The token of the call.
     * @param object The object, or empty if it does not exist.
     */
    record ObjectRead(long token, Optional<StoredObject> object) implements PlatformEvent {}

    /**
     * Objects were listed, or changes were watched.
     *
     * @param token The token of the call.
     * @param objects The objects, in the order of their versions. A watch also returns deleted ones.
     * @param version The version up to which the answer is complete, after which a watch resumes.
     * @param reset {@code true} if the platform no longer retains all changes since the requested version, such that
     *     the caller must list the kind again.
     * @param more {@code true} if the list continues after the last object's name.
     */
    record ObjectsListed(long token, List<StoredObject> objects, long version, boolean reset, boolean more)
            implements PlatformEvent {

        /**
         * Creates an answer that is complete.
         *
         * @param token The token of the call.
         * @param objects The objects.
         * @param version The version up to which the answer is complete.
         * @param reset Whether the caller must list the kind again.
         */
        public ObjectsListed(long token, List<StoredObject> objects, long version, boolean reset) {
            this(token, objects, version, reset, false);
        }
    }

    /**
     * A write or deletion took effect.
     *
     * @param token The token of the call.
     * @param version The object's new version.
     */
    record Accepted(long token, long version) implements PlatformEvent {}

    /**
     * A write or deletion did not take effect because the object's version was not the expected one.
     *
     * @param token The token of the call.
     * @param current The current object, or empty if it does not exist.
     */
    record Conflict(long token, Optional<StoredObject> current) implements PlatformEvent {}

    /**
     * The VMs were listed.
     *
     * @param token The token of the call.
     * @param virtualMachines The VMs as the platform lists them.
     */
    record VirtualMachinesListed(long token, List<VirtualMachine> virtualMachines) implements PlatformEvent {}

    /**
     * The platform gave no usable answer.
     *
     * @param token The token of the call.
     * @param maybeApplied {@code true} if a write may have taken effect nevertheless, {@code false} if it is guaranteed
     *     not to have, such as when the call was never sent.
     * @param reason The reason, for logs.
     */
    record Unavailable(long token, boolean maybeApplied, String reason) implements PlatformEvent {}

    /**
     * A VM as the platform lists it.
     *
     * @param name The VM's name.
     * @param address The VM's address, as {@code host:port} of the endpoint or node that runs on it.
     * @param leaving {@code true} if the VM is about to be removed.
     */
    record VirtualMachine(String name, String address, boolean leaving) {}
}
