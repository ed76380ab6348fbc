package io.yuccaswitch.settings;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.settings.SettingsFileParser.ParsedFile;
import io.yuccaswitch.settings.SettingsValue.NumberValue;
import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import io.yuccaswitch.settings.SettingsValue.TextValue;
import java.math.BigDecimal;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * An accepted generation of the fleet configuration as stored by the platform.
 *
 * @param generation The generation, a positive number that increases by one with each accepted change.
 * @param changeId The identifier of the change, unique for each attempt to make a change.
 * @param author The author of the change.
 * @param acceptedAt The time of the change according to the clock of its author.
 * @param content The merged folder as canonical JSON.
 */
public record ConfigurationDocument(
        long generation, String changeId, String author, Instant acceptedAt, Bytes content) {

    /** The key of the object that contains the latest accepted generation. */
    public static final ObjectKey KEY = new ObjectKey("configuration", "fleet");

    /** The kind of the objects that contain all accepted generations. */
    public static final String HISTORY_KIND = "configuration-history";

    /** The position of values that do not originate from a file. */
    private static final SourcePosition NO_POSITION = new SourcePosition("configuration", 0);

    /** The key of the generation. */
    private static final String GENERATION = "generation";

    /** The key of the change's identifier. */
    private static final String CHANGE_ID = "changeId";

    /** The key of the author. */
    private static final String AUTHOR = "author";

    /** The key of the time. */
    private static final String ACCEPTED_AT = "acceptedAt";

    /** The key of the merged folder. */
    private static final String CONTENT = "content";

    /** Validates the generation. */
    public ConfigurationDocument {
        if (generation <= 0) {
            throw new IllegalArgumentException("Generation must be positive: " + generation);
        }
    }

    /**
     * Returns the key of the history object of a generation.
     *
     * @param generation The generation.
     * @return The key, whose name sorts in the order of generations.
     */
    public static ObjectKey historyKey(long generation) {
        return new ObjectKey(HISTORY_KIND, String.format(Locale.ROOT, "%019d", generation));
    }

    /**
     * Encodes this document.
     *
     * @return The document as JSON.
     */
    public Bytes encode() {
        SettingsFolder folder = FleetConfigurationCodec.folderOf(content);
        if (!folder.errors().isEmpty()) {
            throw new IllegalStateException("The content of generation " + generation + " is not a JSON object");
        }
        Map<String, SettingsValue> entries = new LinkedHashMap<>();
        entries.put(GENERATION, new NumberValue(BigDecimal.valueOf(generation), NO_POSITION));
        entries.put(CHANGE_ID, new TextValue(changeId, NO_POSITION));
        entries.put(AUTHOR, new TextValue(author, NO_POSITION));
        entries.put(ACCEPTED_AT, new TextValue(acceptedAt.toString(), NO_POSITION));
        entries.put(CONTENT, folder.content());
        return CanonicalJson.encode(new ObjectValue(entries, NO_POSITION));
    }

    /**
     * Decodes a document. Unknown keys are ignored, so that later releases can add keys.
     *
     * @param value The document as JSON.
     * @return The document, or empty if the value is not a valid document.
     */
    public static Optional<ConfigurationDocument> decode(Bytes value) {
        ParsedFile parsed = SettingsFileParser.parse(KEY.toString(), value.unsafeArray());
        return parsed.errors().isEmpty() ? parsed.content().flatMap(ConfigurationDocument::ofObject) : Optional.empty();
    }

    /**
     * Creates a document from a JSON object.
     *
     * @param object The JSON object.
     * @return The document, or empty if a part is missing or malformed.
     */
    private static Optional<ConfigurationDocument> ofObject(ObjectValue object) {
        Map<String, SettingsValue> entries = object.entries();
        if (entries.get(GENERATION) instanceof NumberValue generation
                && entries.get(CHANGE_ID) instanceof TextValue changeId
                && entries.get(AUTHOR) instanceof TextValue author
                && entries.get(ACCEPTED_AT) instanceof TextValue acceptedAt
                && entries.get(CONTENT) instanceof ObjectValue content) {
            try {
                return Optional.of(new ConfigurationDocument(
                        generation.number().longValueExact(),
                        changeId.text(),
                        author.text(),
                        Instant.parse(acceptedAt.text()),
                        CanonicalJson.encode(content)));
            } catch (ArithmeticException | IllegalArgumentException | DateTimeParseException e) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }
}
