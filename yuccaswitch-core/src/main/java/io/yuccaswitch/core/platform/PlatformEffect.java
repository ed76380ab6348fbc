package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A call to the platform. The shell answers each call with exactly one {@link PlatformEvent} that has the same token.
 */
public sealed interface PlatformEffect extends Effect {

    /**
     * Returns the token that the answer repeats.
     *
     * @return The token, unique within the process.
     */
    long token();

    /**
     * Returns the purpose of the call.
     *
     * @return The purpose.
     */
    PlatformPurpose purpose();

    /**
     * Reads an object.
     *
     * @param token The token that the answer repeats.
     * @param purpose The purpose of the call.
     * @param key The key of the object.
     */
    record Read(long token, PlatformPurpose purpose, ObjectKey key) implements PlatformEffect {}

    /**
     * Lists all objects of a kind.
     *
     * @param token The token that the answer repeats.
     * @param purpose The purpose of the call.
     * @param kind The kind of the objects.
     * @param after The name after which the list begins, or empty for all objects.
     * @param stale Whether the answer may be some seconds old, which loads the platform less.
     * @param filter Selects the objects in the answer.
     */
    record ListKind(
            long token,
            PlatformPurpose purpose,
            String kind,
            Optional<String> after,
            boolean stale,
            ObjectFilter filter)
            implements PlatformEffect {

        /**
         * Creates a call that lists objects without a filter.
         *
         * @param token The token that the answer repeats.
         * @param purpose The purpose of the call.
         * @param kind The kind of the objects.
         * @param after The name after which the list begins, or empty for all objects.
         * @param stale Whether the answer may be some seconds old, which loads the platform less.
         */
        public ListKind(long token, PlatformPurpose purpose, String kind, Optional<String> after, boolean stale) {
            this(token, purpose, kind, after, stale, ObjectFilter.ALL);
        }

        /**
         * Creates a call that lists the current state of all objects of a kind.
         *
         * @param token The token that the answer repeats.
         * @param purpose The purpose of the call.
         * @param kind The kind of the objects.
         */
        public ListKind(long token, PlatformPurpose purpose, String kind) {
            this(token, purpose, kind, Optional.empty(), false);
        }

        /**
         * Returns a copy of this call for the objects after a name.
         *
         * @param name The name after which the list begins.
         * @return The call.
         */
        public ListKind withAfter(String name) {
            return new ListKind(token, purpose, kind, Optional.of(name), stale, filter);
        }

        /**
         * Returns a copy of this call for the objects that a filter retains.
         *
         * @param newFilter Selects the objects in the answer.
         * @return The call.
         */
        public ListKind withFilter(ObjectFilter newFilter) {
            return new ListKind(token, purpose, kind, after, stale, newFilter);
        }
    }

    /**
     * Writes an object if its version is still the expected one.
     *
     * @param token The token that the answer repeats.
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
     * @param token The token that the answer repeats.
     * @param purpose The purpose of the call.
     * @param key The key of the object.
     * @param expectedVersion The version that the object must have.
     */
    record Delete(long token, PlatformPurpose purpose, ObjectKey key, long expectedVersion) implements PlatformEffect {}

    /**
     * Waits for the next changes of a kind, once. The call returns the changes after a version as soon as there are
     * any, or none when the wait time is over.
     *
     * @param token The token that the answer repeats.
     * @param purpose The purpose of the call.
     * @param kind The kind to watch.
     * @param afterVersion The version after which changes are returned.
     * @param watchTimeout How long the platform waits for changes, or empty for the client's setting.
     */
    record Watch(long token, PlatformPurpose purpose, String kind, long afterVersion, Optional<Duration> watchTimeout)
            implements PlatformEffect {

        /**
         * Creates a call that waits for the time in the client's settings.
         *
         * @param token The token that the answer repeats.
         * @param purpose The purpose of the call.
         * @param kind The kind to watch.
         * @param afterVersion The version after which changes are returned.
         */
        public Watch(long token, PlatformPurpose purpose, String kind, long afterVersion) {
            this(token, purpose, kind, afterVersion, Optional.empty());
        }
    }

    /**
     * Lists the VMs of the site with their states. The list lags behind the actual states.
     *
     * @param token The token that the answer repeats.
     * @param purpose The purpose of the call.
     */
    record ListVirtualMachines(long token, PlatformPurpose purpose) implements PlatformEffect {}
}
