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

/** The core's small values on the wire: names as texts, also as keys of maps, and bytes as MessagePack's binary. */
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
     * Adds a type that is written as its text.
     *
     * @param type The type.
     * @param parser Makes a value of its text.
     * @param <T> The type.
     */
    private <T> void addText(Class<T> type, Function<String, T> parser) {
        addSerializer(type, ToStringSerializer.instance);
        addKeySerializer(type, new TextKeySerializer());
        addDeserializer(type, new TextDeserializer<>(parser));
        addKeyDeserializer(type, new TextKeyDeserializer(parser));
    }

    /**
     * Parses an endpoint's name, which is the name of its pool, a slash and the name within the pool, and behind an at
     * sign the incarnation, if it is told.
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
     * Parses a node's identity, which is its name, an at sign and its incarnation.
     *
     * @param text The text.
     * @return The identity.
     */
    private static NodeIdentity nodeIdentity(String text) {
        int at = text.lastIndexOf('@');
        return new NodeIdentity(new NodeName(text.substring(0, at)), Long.parseLong(text.substring(at + 1)));
    }

    /** Writes a key of a map as its text. */
    private static final class TextKeySerializer extends JsonSerializer<Object> {

        /** {@inheritDoc} */
        @Override
        public void serialize(Object value, JsonGenerator generator, SerializerProvider _provider) throws IOException {
            generator.writeFieldName(value.toString());
        }
    }

    /**
     * Reads a value from its text.
     *
     * @param <T> The type of the value.
     */
    private static final class TextDeserializer<T> extends JsonDeserializer<T> {

        /** Makes a value of its text. */
        private final Function<String, T> parser;

        /**
         * Creates a new deserializer.
         *
         * @param parser Makes a value of its text.
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

    /** Reads a key of a map from its text. */
    private static final class TextKeyDeserializer extends KeyDeserializer {

        /** Makes a value of its text. */
        private final Function<String, ?> parser;

        /**
         * Creates a new deserializer.
         *
         * @param parser Makes a value of its text.
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
