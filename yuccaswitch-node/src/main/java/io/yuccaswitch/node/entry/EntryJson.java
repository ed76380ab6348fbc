package io.yuccaswitch.node.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads and writes the documents of the entry. */
final class EntryJson {

    /** The mapper. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The status of a body that is not a JSON object. */
    private static final int BAD_REQUEST = 400;

    /** This class has no instances. */
    private EntryJson() {}

    /**
     * Writes a document.
     *
     * @param document The document.
     * @return The document as JSON in UTF-8.
     */
    static byte[] write(Object document) {
        try {
            return MAPPER.writeValueAsString(document).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("The document can't be written as JSON", exception);
        }
    }

    /**
     * Creates an empty object.
     *
     * @return The object.
     */
    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Reads an object.
     *
     * @param content The document as JSON in UTF-8.
     * @return The object.
     */
    static ObjectNode read(byte[] content) {
        try {
            JsonNode node = MAPPER.readTree(content);
            if (node instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException _exception) {
            throw invalid();
        }
        throw invalid();
    }

    /**
     * Creates the refusal of a body that is not a JSON object.
     *
     * @return The refusal.
     */
    private static EntryException invalid() {
        return new EntryException(BAD_REQUEST, "invalid-body", "The body must be a JSON object.");
    }
}
