package io.yuccaswitch.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.yuccaswitch.settings.SettingsValue.BooleanValue;
import io.yuccaswitch.settings.SettingsValue.ListValue;
import io.yuccaswitch.settings.SettingsValue.NullValue;
import io.yuccaswitch.settings.SettingsValue.NumberValue;
import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import io.yuccaswitch.settings.SettingsValue.TextValue;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parses a JSON file with comments and trailing commas, and records the line of each value. */
final class SettingsFileParser {

    /** The factory of parsers. */
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    /** The name of the file. */
    private final String file;

    /** The parser of the file's content. */
    private final JsonParser parser;

    /** The errors found so far. */
    private final List<SettingsError> errors = new ArrayList<>();

    /**
     * Creates a new parser.
     *
     * @param file The name of the file.
     * @param parser The parser of the file's content.
     */
    private SettingsFileParser(String file, JsonParser parser) {
        this.file = file;
        this.parser = parser;
    }

    /**
     * Parses a file.
     *
     * @param file The name of the file.
     * @param content The bytes of the file.
     * @return The content and the errors of the file.
     */
    static ParsedFile parse(String file, byte[] content) {
        try (JsonParser parser = FACTORY.createParser(content)) {
            return new SettingsFileParser(file, parser).parseFile();
        } catch (IOException e) {
            SettingsError error = SettingsError.at(
                    SettingsErrorCode.UNREADABLE,
                    new SourcePosition(file, 0),
                    KeyPath.ROOT,
                    "The file cannot be read: " + e.getMessage() + ".",
                    "Check the file and its permissions.");
            return new ParsedFile(Optional.empty(), List.of(error));
        }
    }

    /**
     * Parses the file.
     *
     * @return The content and the errors of the file.
     * @throws IOException If the content cannot be read.
     */
    private ParsedFile parseFile() throws IOException {
        try {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                addSyntaxError(line(), "The file is not an object.", "Write the settings between { and }.");
                return new ParsedFile(Optional.empty(), errors);
            }
            ObjectValue content = parseObject(KeyPath.ROOT, position());
            if (parser.nextToken() != null) {
                addSyntaxError(
                        line(), "There is content after the end of the object.", "Remove everything after the last }.");
            }
            return new ParsedFile(Optional.of(content), errors);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null
                    ? line()
                    : Math.max(1, e.getLocation().getLineNr());
            addSyntaxError(line, e.getOriginalMessage() + ".", "Correct the JSON in or before this line.");
            return new ParsedFile(Optional.empty(), errors);
        }
    }

    /**
     * Parses an object whose opening brace is the current token.
     *
     * @param path The path of the object.
     * @param position The position of the object.
     * @return The object.
     * @throws IOException If the content cannot be parsed.
     */
    private ObjectValue parseObject(KeyPath path, SourcePosition position) throws IOException {
        Map<String, SettingsValue> entries = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            KeyPath keyPath = path.child(key);
            SourcePosition keyPosition = position();
            parser.nextToken();
            SettingsValue earlier = entries.putIfAbsent(key, parseValue(keyPath, keyPosition));
            if (earlier != null) {
                errors.add(SettingsError.at(
                        SettingsErrorCode.DUPLICATE_KEY,
                        keyPosition,
                        keyPath,
                        "The key already occurs in line " + earlier.position().line() + " of this file.",
                        "Keep one of the two."));
            }
        }
        return new ObjectValue(entries, position);
    }

    /**
     * Parses the value whose first token is the current one.
     *
     * @param path The path of the value.
     * @param position The position of the value.
     * @return The value.
     * @throws IOException If the content cannot be parsed.
     */
    private SettingsValue parseValue(KeyPath path, SourcePosition position) throws IOException {
        JsonToken token = parser.currentToken();
        return switch (token) {
            case START_OBJECT -> parseObject(path, position);
            case START_ARRAY -> parseList(path, position);
            case VALUE_STRING -> new TextValue(parser.getText(), position);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new NumberValue(parser.getDecimalValue(), position);
            case VALUE_TRUE, VALUE_FALSE -> new BooleanValue(token == JsonToken.VALUE_TRUE, position);
            case VALUE_NULL -> new NullValue(position);
            default -> throw new IllegalStateException("Unexpected token " + token);
        };
    }

    /**
     * Parses a list whose opening bracket is the current token.
     *
     * @param path The path of the list.
     * @param position The position of the list.
     * @return The list.
     * @throws IOException If the content cannot be parsed.
     */
    private ListValue parseList(KeyPath path, SourcePosition position) throws IOException {
        List<SettingsValue> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(parseValue(path.child(Integer.toString(elements.size())), position()));
        }
        return new ListValue(elements, position);
    }

    /**
     * Returns the position of the current token.
     *
     * @return The file and line.
     */
    private SourcePosition position() {
        return new SourcePosition(file, line());
    }

    /**
     * Returns the line of the current token.
     *
     * @return The line, at least one.
     */
    private int line() {
        return Math.max(1, parser.currentTokenLocation().getLineNr());
    }

    /**
     * Adds a syntax error.
     *
     * @param line The line.
     * @param message The description of the error.
     * @param remedy The suggested correction.
     */
    private void addSyntaxError(int line, String message, String remedy) {
        errors.add(SettingsError.at(
                SettingsErrorCode.SYNTAX, new SourcePosition(file, line), KeyPath.ROOT, message, remedy));
    }

    /**
     * The content and the errors of a file.
     *
     * @param content The content, or empty if the file is not an object.
     * @param errors The errors.
     */
    record ParsedFile(Optional<ObjectValue> content, List<SettingsError> errors) {

        /**
         * Copies the errors.
         *
         * @param content The content, or empty if the file is not an object.
         * @param errors The errors.
         */
        ParsedFile {
            errors = List.copyOf(errors);
        }
    }
}
