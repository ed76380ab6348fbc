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
 * An accepted generation of the fleet's configuration as the platform holds it.
 *
 * @param generation The generation, a positive number that grows by one with each accepted change.
 * @param changeId The identifier of the change, unique for each try to make a change.
 * @param author Who made the change.
 * @param acceptedAt When the change was made, by the clock of its author.
 * @param content The merged folder as canonical JSON.
 */
public record ConfigurationDocument(
        long generation, String changeId, String author, Instant acceptedAt, Bytes content) {

    /** The key of the object that holds the newest accepted generation. */
    public static final ObjectKey KEY = new ObjectKey("configuration", "fleet");

    /** The kind of the objects that hold all accepted generations. */
    public static final String HISTORY_KIND = "configuration-history";

    /** The position of values that come from no file. */
    private static final SourcePosition NOWHERE = new SourcePosition("configuration", 0);

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

    /** Checks the generation. */
    public ConfigurationDocument {
        if (generation <= 0) {
            throw new IllegalArgumentException("Not a positive generation: " + generation);
        }
    }

    /**
     * Returns the key of the object that keeps a generation.
     *
     * @param generation The generation.
     * @return The key, whose names sort as the generations do.
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
            throw new IllegalStateException("The content of generation " + generation + " is no JSON object");
        }
        Map<String, SettingsValue> entries = new LinkedHashMap<>();
        entries.put(GENERATION, new NumberValue(BigDecimal.valueOf(generation), NOWHERE));
        entries.put(CHANGE_ID, new TextValue(changeId, NOWHERE));
        entries.put(AUTHOR, new TextValue(author, NOWHERE));
        entries.put(ACCEPTED_AT, new TextValue(acceptedAt.toString(), NOWHERE));
        entries.put(CONTENT, folder.content());
        return CanonicalJson.encode(new ObjectValue(entries, NOWHERE));
    }

    /**
     * Decodes a document. Keys that are not known are passed over, such that later releases may add some.
     *
     * @param value The document as JSON.
     * @return The document, or empty if the value is none.
     */
    public static Optional<ConfigurationDocument> decode(Bytes value) {
        ParsedFile parsed = SettingsFileParser.parse(KEY.toString(), value.unsafeArray());
        return parsed.errors().isEmpty() ? parsed.content().flatMap(ConfigurationDocument::ofObject) : Optional.empty();
    }

    /**
     * Creates a document from its JSON.
     *
     * @param object The JSON.
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
