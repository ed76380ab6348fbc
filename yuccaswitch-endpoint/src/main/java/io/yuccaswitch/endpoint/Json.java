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

/** Reads and writes the documents that endpoints speak in. */
final class Json {

    /** The deepest nesting that is accepted. */
    private static final int MAXIMUM_DEPTH = 64;

    /** The longest text that is accepted, as a second line behind the bounds of answers. */
    private static final int MAXIMUM_TEXT = 32 << 20;

    /** The mapper, which is never changed after its creation. */
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    static {
        MAPPER.getFactory()
                .setStreamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAXIMUM_DEPTH)
                        .maxStringLength(MAXIMUM_TEXT)
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
     * @throws AnswerException If the document is anything else.
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
     * Writes an object.
     *
     * @param object The object.
     * @return The document.
     */
    static Bytes write(ObjectNode object) {
        try {
            return Bytes.wrap(MAPPER.writeValueAsBytes(object));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("A tree can always be written.", exception);
        }
    }
}
