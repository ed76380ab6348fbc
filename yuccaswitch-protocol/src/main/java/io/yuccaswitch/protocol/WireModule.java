package io.yuccaswitch.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.util.function.Function;

/** Serializes the core's value types: names as strings, also as keys of maps, and bytes as MessagePack binary data. */
final class WireModule extends SimpleModule {

    /** The version of the serialized form of this class, which is never used. */
    private static final long serialVersionUID = 1L;

    /** Creates a new module. */
    WireModule() {
        super("yuccaswitch-wire");
        addText(AvailabilityZone.class, AvailabilityZone::new);
        addText(CallerName.class, CallerName::new);
        addText(NodeName.class, NodeName::new);
        addText(PoolName.class, PoolName::new);
        addText(TrainerName.class, TrainerName::new);
        addText(EndpointName.class, WireModule::endpointName);
        addText(NodeIdentity.class, WireModule::nodeIdentity);
        addSerializer(Bytes.class, new BytesSerializer());
        addDeserializer(Bytes.class, new BytesDeserializer());
    }

    /**
     * Registers a type that is written as its string representation.
     *
     * @param type The type.
     * @param parser The parser of the string representation.
     * @param <T> The type.
     */
    private <T> void addText(Class<T> type, Function<String, T> parser) {
        addSerializer(type, ToStringSerializer.instance);
        addKeySerializer(type, new TextKeySerializer());
        addDeserializer(type, new TextDeserializer<>(parser));
        addKeyDeserializer(type, new TextKeyDeserializer(parser));
    }

    /**
     * Parses an endpoint's name, which consists of the name of its pool, a slash and the name within the pool, followed
     * by an at sign and the incarnation if that is specified.
     *
     * @param text The text.
     * @return The name.
     */
    private static EndpointName endpointName(String text) {
        int slash = text.indexOf('/');
        int at = text.lastIndexOf('@');
        PoolName pool = new PoolName(text.substring(0, slash));
        return at < 0
                ? new EndpointName(pool, text.substring(slash + 1))
                : new EndpointName(pool, text.substring(slash + 1, at), Long.parseLong(text.substring(at + 1)));
    }

    /**
     * Parses a node's identity, which consists of its name, an at sign and its incarnation.
     *
     * @param text The text.
     * @return The identity.
     */
    private static NodeIdentity nodeIdentity(String text) {
        int at = text.lastIndexOf('@');
        return new NodeIdentity(new NodeName(text.substring(0, at)), Long.parseLong(text.substring(at + 1)));
    }

    /** Writes a key of a map as its string representation. */
    private static final class TextKeySerializer extends JsonSerializer<Object> {

        /** {@inheritDoc} */
        @Override
        public void serialize(Object value, JsonGenerator generator, SerializerProvider _provider) throws IOException {
            generator.writeFieldName(value.toString());
        }
    }

    /**
     * Reads a value from its string representation.
     *
     * @param <T> The type of the value.
     */
    private static final class TextDeserializer<T> extends JsonDeserializer<T> {

        /** The parser of the string representation. */
        private final Function<String, T> parser;

        /**
         * Creates a new deserializer.
         *
         * @param parser The parser of the string representation.
         */
        TextDeserializer(Function<String, T> parser) {
            this.parser = parser;
        }

        /** {@inheritDoc} */
        @Override
        public T deserialize(JsonParser input, DeserializationContext _context) throws IOException {
            return parser.apply(input.getText());
        }
    }

    /** Reads a key of a map from its string representation. */
    private static final class TextKeyDeserializer extends KeyDeserializer {

        /** The parser of the string representation. */
        private final Function<String, ?> parser;

        /**
         * Creates a new deserializer.
         *
         * @param parser The parser of the string representation.
         */
        TextKeyDeserializer(Function<String, ?> parser) {
            this.parser = parser;
        }

        /** {@inheritDoc} */
        @Override
        public Object deserializeKey(String key, DeserializationContext _context) {
            return parser.apply(key);
        }
    }

    /** Writes bytes. */
    private static final class BytesSerializer extends JsonSerializer<Bytes> {

        /** {@inheritDoc} */
        @Override
        public void serialize(Bytes value, JsonGenerator generator, SerializerProvider _provider) throws IOException {
            generator.writeBinary(value.unsafeArray());
        }
    }

    /** Reads bytes. */
    private static final class BytesDeserializer extends JsonDeserializer<Bytes> {

        /** {@inheritDoc} */
        @Override
        public Bytes deserialize(JsonParser input, DeserializationContext _context) throws IOException {
            return Bytes.wrap(input.getBinaryValue());
        }
    }
}
