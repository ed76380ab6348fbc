package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.value.Bytes;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Writes the bodies of generation and scoring requests, and parses the scores in answers. */
final class CompletionBody {

    /** The first character that JSON allows unescaped. */
    private static final char MINIMUM_UNESCAPED_CHARACTER = ' ';

    /** The score in a scorer's answer. */
    private static final Pattern SCORE =
            Pattern.compile("\"score\"\\s*:\\s*(-?[0-9]{1,30}(?:\\.[0-9]{1,30})?(?:[eE][+-]?[0-9]{1,3})?)\\s*[,}]");

    /** This class has no instances. */
    private CompletionBody() {}

    /**
     * Writes the body of a generation request.
     *
     * @param model The model.
     * @param specification The group.
     * @param index The index of the sample in its group.
     * @param seed The seed of the generation.
     * @return The body.
     */
    static Bytes generation(String model, GroupSpecification specification, int index, long seed) {
        return Bytes.ofUtf8("{\"model\":" + quote(model)
                + ",\"prompt\":" + quote(specification.prompt())
                + ",\"max_tokens\":" + specification.maximumTokens()
                + ",\"seed\":" + seed
                + ",\"user\":" + quote(specification.key() + "/" + index) + "}");
    }

    /**
     * Writes the body of a scoring request.
     *
     * @param specification The group.
     * @param sample The sample to score.
     * @param generation The number of the generation that produced the sample, which distinguishes calls for the same
     *     slot.
     * @return The body.
     */
    static Bytes scoring(GroupSpecification specification, Sample sample, long generation) {
        GroupKey key = specification.key();
        return Bytes.ofUtf8("{\"trainer\":" + quote(key.trainer().value())
                + ",\"step\":" + key.step()
                + ",\"group\":" + key.group()
                + ",\"index\":" + sample.index()
                + ",\"generation\":" + generation
                + ",\"prompt\":" + quote(specification.prompt())
                + ",\"text\":" + quote(sample.text()) + "}");
    }

    /**
     * Parses the score from a scorer's answer.
     *
     * @param body The body of the answer.
     * @return The score, or empty if the answer has none.
     */
    static OptionalDouble score(Bytes body) {
        Matcher matcher = SCORE.matcher(body.toUtf8());
        return matcher.find() ? OptionalDouble.of(Double.parseDouble(matcher.group(1))) : OptionalDouble.empty();
    }

    /**
     * Quotes and escapes a text as a JSON string.
     *
     * @param text The text.
     * @return The JSON string including its quotes.
     */
    private static String quote(String text) {
        StringBuilder builder = new StringBuilder(text.length() + 2).append('"');
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character == '"' || character == '\\') {
                builder.append('\\').append(character);
            } else if (character < MINIMUM_UNESCAPED_CHARACTER) {
                builder.append(String.format("\\u%04x", (int) character));
            } else {
                builder.append(character);
            }
        }
        return builder.append('"').toString();
    }
}
