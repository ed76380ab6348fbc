package io.yuccaswitch.protocol;

import io.yuccaswitch.core.peer.PeerMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The type numbers of messages on the wire. A number must never be reused for another type, since nodes of different
 * releases exchange messages while a release is rolled out.
 */
public final class PeerMessageRegistry {

    /** The types by their numbers. */
    private final Map<Integer, Class<? extends PeerMessage>> types;

    /** The numbers by their types. */
    private final Map<Class<? extends PeerMessage>, Integer> numbers;

    /**
     * Creates a new registry.
     *
     * @param builder The builder that holds the registered types.
     */
    private PeerMessageRegistry(Builder builder) {
        types = Map.copyOf(builder.types);
        numbers = Map.copyOf(builder.numbers);
    }

    /**
     * Returns a new builder without types.
     *
     * @return A new builder.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the type of a number.
     *
     * @param number The number on the wire.
     * @return The type, or empty if no type is registered with the number.
     */
    public Optional<Class<? extends PeerMessage>> type(int number) {
        return Optional.ofNullable(types.get(number));
    }

    /**
     * Returns the number of a type.
     *
     * @param type The type.
     * @return The number on the wire, or empty if the type is not registered.
     */
    public Optional<Integer> number(Class<? extends PeerMessage> type) {
        return Optional.ofNullable(numbers.get(type));
    }

    /** Collects the message types of all concepts. */
    public static final class Builder {

        /** The types by their numbers. */
        private final Map<Integer, Class<? extends PeerMessage>> types = new HashMap<>();

        /** The numbers by their types. */
        private final Map<Class<? extends PeerMessage>, Integer> numbers = new HashMap<>();

        /** Creates a new builder. */
        private Builder() {}

        /**
         * Registers a message type.
         *
         * @param range The range of the concept that the type belongs to.
         * @param number The number on the wire, which must lie in the range.
         * @param type The type, which must be a record.
         * @return This builder.
         */
        public Builder register(PeerMessageRange range, int number, Class<? extends PeerMessage> type) {
            if (!range.contains(number)) {
                throw new IllegalArgumentException("Number " + number + " is not in the range " + range);
            }
            if (!type.isRecord()) {
                throw new IllegalArgumentException("Message type is not a record: " + type);
            }
            if (types.putIfAbsent(number, type) != null || numbers.putIfAbsent(type, number) != null) {
                throw new IllegalArgumentException(
                        "Number or message type is already registered: " + number + " or " + type);
            }
            return this;
        }

        /**
         * Creates the registry.
         *
         * @return The registry.
         */
        public PeerMessageRegistry build() {
            return new PeerMessageRegistry(this);
        }
    }
}
