package io.yuccaswitch.command.configuration;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** The object store of the platform. Calls block until they are answered or time out. */
public interface ObjectStore extends AutoCloseable {

    /**
     * Reads an object. The answer may lag behind accepted writes.
     *
     * @param key The key of the object.
     * @return The outcome of the call.
     */
    ReadResult read(ObjectKey key);

    /**
     * Lists all objects of a kind. The answer may lag behind accepted writes.
     *
     * @param kind The kind of the objects.
     * @return The objects, or empty if the platform gave no usable answer.
     */
    Optional<List<StoredObject>> list(String kind);

    /**
     * Writes an object if its version is still the expected one.
     *
     * @param key The key of the object.
     * @param expectedVersion The version that the object must have, or empty if it must not exist.
     * @param value The value to write.
     * @return The outcome of the call.
     */
    WriteResult write(ObjectKey key, OptionalLong expectedVersion, Bytes value);

    /**
     * Deletes an object if its version is still the expected one.
     *
     * @param key The key of the object.
     * @param expectedVersion The version that the object must have.
     * @return The outcome of the call.
     */
    WriteResult delete(ObjectKey key, long expectedVersion);

    /** Releases threads and connections. */
    @Override
    void close();

    /** The outcome of a read. */
    sealed interface ReadResult {

        /**
         * The object was read.
         *
         * @param object The object.
         */
        record Found(StoredObject object) implements ReadResult {}

        /** The object does not exist. */
        record Absent() implements ReadResult {}

        /**
         * The platform gave no usable answer.
         *
         * @param reason The reason.
         */
        record Unavailable(String reason) implements ReadResult {}
    }

    /** The outcome of a write or deletion. */
    sealed interface WriteResult {

        /**
         * The call took effect.
         *
         * @param version The object's new version.
         */
        record Accepted(long version) implements WriteResult {}

        /**
         * The call did not take effect because the version of the object was not the expected one.
         *
         * @param current The current object, or empty if it does not exist.
         */
        record Conflict(Optional<StoredObject> current) implements WriteResult {}

        /**
         * The platform gave no usable answer.
         *
         * @param maybeApplied {@code true} if the call may still have taken effect.
         * @param reason The reason.
         */
        record Unavailable(boolean maybeApplied, String reason) implements WriteResult {}
    }
}
