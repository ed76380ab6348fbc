package io.yuccaswitch.protocol;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.AnnotationIntrospector;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages as frames and decodes them. A message that lacks a component is rejected, unless the component is
 * optional or a number: a component that is added to a record in use must therefore have such a type. Instances are
 * thread-safe.
 */
public final class PeerMessageCodec {

    /** The registered types of messages. */
    private final PeerMessageRegistry registry;

    /** The maximum size in bytes of a frame without its length field. */
    private final int maximumFrameLength;

    /** The mapper for MessagePack. */
    private final ObjectMapper mapper;

    /**
     * Creates a new codec.
     *
     * @param registry The registered types of messages.
     * @param maximumFrameLength The maximum size in bytes of a frame without its length field.
     */
    public PeerMessageCodec(PeerMessageRegistry registry, int maximumFrameLength) {
        this.registry = registry;
        this.maximumFrameLength = maximumFrameLength;
        mapper = mapper();
    }

    /**
     * Encodes a message as a frame.
     *
     * @param message The message, of a registered type.
     * @return The bytes of the frame, or empty if it would exceed the maximum size.
     */
    public Optional<Bytes> encode(PeerMessage message) {
        int number = registry.number(message.getClass())
                .orElseThrow(
                        () -> new IllegalArgumentException("Message type is not registered: " + message.getClass()));
        byte[] payload = write(message);
        if (payload.length + Frame.HEADER_SIZE > maximumFrameLength) {
            return Optional.empty();
        }
        return Optional.of(Frame.encode(number, payload));
    }

    /**
     * Returns the maximum size of a frame.
     *
     * @return The maximum size in bytes of a frame without its length field.
     */
    int maximumFrameLength() {
        return maximumFrameLength;
    }

    /**
     * Encodes a greeting as a frame.
     *
     * @param greeting The greeting.
     * @return The bytes of the frame.
     */
    Bytes encode(Greeting greeting) {
        return Frame.encode(Greeting.NUMBER, write(greeting));
    }

    /**
     * Returns whether this release has a message type with the number of a frame.
     *
     * @param frame The frame.
     * @return {@code true} if the type is registered.
     */
    boolean isKnownType(Frame frame) {
        return registry.type(frame.type()).isPresent();
    }

    /**
     * Decodes a message.
     *
     * @param frame The frame that holds the message.
     * @return The message, or empty if the bytes are invalid.
     */
    Optional<PeerMessage> decode(Frame frame) {
        return registry.type(frame.type()).flatMap(type -> read(frame.payload().unsafeArray(), type));
    }

    /**
     * Decodes a greeting.
     *
     * @param frame The frame that holds the greeting.
     * @return The greeting, or empty if the frame holds something else.
     */
    Optional<Greeting> decodeGreeting(Frame frame) {
        return frame.type() == Greeting.NUMBER ? read(frame.payload().unsafeArray(), Greeting.class) : Optional.empty();
    }

    /**
     * Serializes a value.
     *
     * @param value The value.
     * @return The value as MessagePack.
     */
    private byte[] write(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new UncheckedIOException("Cannot serialize " + value.getClass(), exception);
        }
    }

    /**
     * Deserializes a value from untrusted bytes. Jackson and the constructors of records throw exceptions of various
     * types on malformed input, all of which are treated the same.
     *
     * @param payload The bytes.
     * @param type The type of the value.
     * @param <T> The type of the value.
     * @return The value, or empty if the bytes are not a valid value of this type.
     */
    private <T> Optional<T> read(byte[] payload, Class<? extends T> type) {
        try {
            return Optional.ofNullable(mapper.readValue(payload, type));
        } catch (IOException | RuntimeException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Creates the mapper.
     *
     * @return The mapper.
     */
    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.registerModules(new Jdk8Module(), new JavaTimeModule(), new WireModule());
        mapper.setAnnotationIntrospector(AnnotationIntrospector.pair(
                new SealedTypeIntrospector(), mapper.getSerializationConfig().getAnnotationIntrospector()));
        mapper.setVisibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE);
        mapper.setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE);
        mapper.setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY);
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
        mapper.setDefaultSetterInfo(JsonSetter.Value.forContentNulls(Nulls.FAIL));
        mapper.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
        mapper.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS);
        return mapper;
    }
}
