package io.yuccaswitch.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.settings.SettingsValue.BooleanValue;
import io.yuccaswitch.settings.SettingsValue.ListValue;
import io.yuccaswitch.settings.SettingsValue.NumberValue;
import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import io.yuccaswitch.settings.SettingsValue.TextValue;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes values as canonical JSON, so that equal values have equal encodings: keys are sorted, trailing zeros of
 * numbers are removed, and there is no white space between tokens.
 */
public final class CanonicalJson {

    /** The factory of generators. */
    private static final JsonFactory FACTORY = new JsonFactory();

    /** This class has no instances. */
    private CanonicalJson() {}

    /**
     * Encodes a value.
     *
     * @param value The value.
     * @return The JSON in UTF-8.
     */
    public static Bytes encode(SettingsValue value) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(output)) {
            write(value, generator);
        } catch (IOException e) {
            throw new UncheckedIOException("Writing to memory failed", e);
        }
        return Bytes.wrap(output.toByteArray());
    }

    /**
     * Encodes a value as text.
     *
     * @param value The value.
     * @return The JSON.
     */
    public static String toText(SettingsValue value) {
        return encode(value).toUtf8();
    }

    /**
     * Writes a value.
     *
     * @param value The value.
     * @param generator The generator to write to.
     * @throws IOException If the generator cannot write.
     */
    private static void write(SettingsValue value, JsonGenerator generator) throws IOException {
        if (value instanceof ObjectValue object) {
            generator.writeStartObject();
            for (Map.Entry<String, SettingsValue> entry : new TreeMap<>(object.entries()).entrySet()) {
                generator.writeFieldName(entry.getKey());
                write(entry.getValue(), generator);
            }
            generator.writeEndObject();
        } else if (value instanceof ListValue list) {
            generator.writeStartArray();
            for (SettingsValue element : list.elements()) {
                write(element, generator);
            }
            generator.writeEndArray();
        } else if (value instanceof TextValue text) {
            generator.writeString(text.text());
        } else if (value instanceof NumberValue number) {
            generator.writeNumber(canonicalText(number.number()));
        } else if (value instanceof BooleanValue flag) {
            generator.writeBoolean(flag.truth());
        } else {
            generator.writeNull();
        }
    }

    /**
     * Returns the canonical text of a number, which depends only on its numeric value.
     *
     * @param number The number.
     * @return The text, in plain digits if the number is an integer that fits into a {@code long}.
     */
    private static String canonicalText(BigDecimal number) {
        BigDecimal stripped = number.stripTrailingZeros();
        boolean isLong = stripped.scale() <= 0
                && stripped.compareTo(BigDecimal.valueOf(Long.MIN_VALUE)) >= 0
                && stripped.compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) <= 0;
        return isLong ? stripped.toPlainString() : stripped.toString();
    }
}
