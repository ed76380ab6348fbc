package io.yuccaswitch.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;

/** Parses and serialises the JSON documents that are exchanged with endpoints. */
final class Json {

    /** The maximum nesting depth of a document. */
    private static final int MAXIMUM_NESTING_DEPTH = 64;

    /** The maximum length of a string, as an additional safeguard besides the size limits of answers. */
    private static final int MAXIMUM_STRING_CHARACTERS = 32 << 20;

    /** The mapper, which is not modified after its initialisation. */
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    static {
        MAPPER.getFactory()
                .setStreamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAXIMUM_NESTING_DEPTH)
                        .maxStringLength(MAXIMUM_STRING_CHARACTERS)
                        .build());
    }

    /** This class has no instances. */
    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return The object.
     */
    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a document that must be an object.
     *
     * @param content The document.
     * @return The object.
     * @throws AnswerException If the document is malformed or not an object.
     */
    static ObjectNode parse(Bytes content) throws AnswerException {
        try {
            JsonNode node = MAPPER.readTree(content.unsafeArray());
            if (node instanceof ObjectNode object) {
                return object;
            }
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        } catch (AnswerException exception) {
            throw exception;
        } catch (IOException _exception) {
            throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
        }
    }

    /**
     * Serialises an object.
     *
     * @param object The object.
     * @return The document.
     */
    static Bytes write(ObjectNode object) {
        try {
            return Bytes.wrap(MAPPER.writeValueAsBytes(object));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("A JSON tree could not be serialised.", exception);
        }
    }
}
