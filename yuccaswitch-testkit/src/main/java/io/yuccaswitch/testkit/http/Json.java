package io.yuccaswitch.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Reads and writes JSON. */
public final class Json {

    /** The mapper, which is never changed after its creation. */
    private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    /** This class has no instances. */
    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return The object.
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a document.
     *
     * @param bytes The document.
     * @return Its root.
     */
    public static JsonNode parse(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Writes a value.
     *
     * @param value A node, record, map or collection.
     * @return The document.
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Writes a value as bytes.
     *
     * @param value A node, record, map or collection.
     * @return The document in UTF-8.
     */
    public static byte[] bytes(Object value) {
        return write(value).getBytes(StandardCharsets.UTF_8);
    }
}
