package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.value.Bytes;
import java.util.OptionalLong;

/**
 * A call to the platform. The shell answers each call with exactly one {@link PlatformEvent} that bears the same token.
 */
public sealed interface PlatformEffect extends Effect {

    /**
     * Returns the token that the answer bears.
     *
     * @return The token, unique within the process.
     */
    long token();

    /**
     * Returns what the call is made for.
     *
     * @return The purpose of the call.
     */
    PlatformPurpose purpose();

    /**
     * Reads an object.
     *
     * @param token The token that the answer bears.
     * @param purpose The purpose of the call.
     * @param key The key of the object.
     */
    record Read(long token, PlatformPurpose purpose, ObjectKey key) implements PlatformEffect {}

    /**
     * Lists all objects of a kind.
     *
     * @param token The token that the answer bears.
     * @param purpose The purpose of the call.
     * @param kind The kind of the objects.
     */
    record ListKind(long token, PlatformPurpose purpose, String kind) implements PlatformEffect {}

    /**
     * Writes an object if its version is still the expected one.
     *
     * @param token The token that the answer bears.
     * @param purpose The purpose of the call.
     * @param key The key of the object.
     * @param expectedVersion The version that the object must have, or empty if it must not exist.
     * @param value The value to write.
     */
    record Write(long token, PlatformPurpose purpose, ObjectKey key, OptionalLong expectedVersion, Bytes value)
            implements PlatformEffect {}

    /**
     * Deletes an object if its version is still the expected one.
     *
     * @param token The token that the answer bears.
     * @param purpose The purpose of the call.
     * @param key The key of the object.
     * @param expectedVersion The version that the object must have.
     */
    record Delete(long token, PlatformPurpose purpose, ObjectKey key, long expectedVersion) implements PlatformEffect {}

    /**
     * Waits for the next changes of a kind, once. The call returns with the changes after a version as soon as there
     * are any, or with none after the platform's waiting time.
     *
     * @param token The token that the answer bears.
     * @param purpose The purpose of the call.
     * @param kind The kind to watch.
     * @param afterVersion The version after which changes count.
     */
    record Watch(long token, PlatformPurpose purpose, String kind, long afterVersion) implements PlatformEffect {}

    /**
     * Lists the VMs of the site with their states. The list lags behind what happens.
     *
     * @param token The token that the answer bears.
     * @param purpose The purpose of the call.
     */
    record ListVirtualMachines(long token, PlatformPurpose purpose) implements PlatformEffect {}
}
