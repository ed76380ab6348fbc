package io.yuccaswitch.command.configuration;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** The platform's objects. Calls block until they are answered or given up. */
public interface ObjectStore extends AutoCloseable {

    /**
     * Reads an object. The answer may be behind the writes that were accepted.
     *
     * @param key The key of the object.
     * @return What became of the call.
     */
    ReadResult read(ObjectKey key);

    /**
     * Lists all objects of a kind. The answer may be behind the writes that were accepted.
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
     * @return What became of the call.
     */
    WriteResult write(ObjectKey key, OptionalLong expectedVersion, Bytes value);

    /**
     * Deletes an object if its version is still the expected one.
     *
     * @param key The key of the object.
     * @param expectedVersion The version that the object must have.
     * @return What became of the call.
     */
    WriteResult delete(ObjectKey key, long expectedVersion);

    /** Releases threads and connections. */
    @Override
    void close();

    /** What became of a read. */
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

    /** What became of a write or deletion. */
    sealed interface WriteResult {

        /**
         * The call took effect.
         *
         * @param version The object's new version.
         */
        record Accepted(long version) implements WriteResult {}

        /**
         * The call did not take effect because the object's version was another one.
         *
         * @param current The object as it is, or empty if it does not exist.
         */
        record Conflict(Optional<StoredObject> current) implements WriteResult {}

        /**
         * The platform gave no usable answer.
         *
         * @param maybeApplied {@code true} if the call may have taken effect all the same.
         * @param reason The reason.
         */
        record Unavailable(boolean maybeApplied, String reason) implements WriteResult {}
    }
}
