package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that an answer is divided exactly as a JSON reader divides it, without the limits of the reader. */
final class JsonSliceTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Test
    void fieldsAreFoundBesideStringsWithBracketsAndQuotes() throws IOException {
        JsonSlice answer = slice(" {\"a\" : \"}],\\\"{[\\\\\" , \"b\":[1, {\"a\":2}] ,\"c\":-1.5e3}\n");
        assertThat(text(answer.field("a").orElseThrow())).isEqualTo("\"}],\\\"{[\\\\\"");
        assertThat(text(answer.field("b").orElseThrow())).isEqualTo("[1, {\"a\":2}]");
        assertThat(text(answer.field("c").orElseThrow())).isEqualTo("-1.5e3");
        assertThat(answer.field("d")).isEmpty();
    }

    @Test
    void theLastOfRepeatedFieldsCountsAndItsNameMayBeEscaped() throws IOException {
        JsonSlice answer = slice("{\"items\":1,\"\\u0069t\\u0065ms\":2,\"items\\u00\":3,\"item\":4,\"itemss\":5}");
        assertThat(text(answer.field("items").orElseThrow())).isEqualTo("2");
    }

    @Test
    void elementsOfAnotherTypeAreNone() throws IOException {
        for (String other : List.of("{}", "1", "\"[1]\"", "null")) {
            assertThat(slice(other).elements()).as(other).isEmpty();
        }
        assertThat(slice("[]").field("a")).isEmpty();
        assertThat(slice("[ ]").elements()).isEmpty();
    }

    @Test
    void aDeeplyNestedElementHidesNoOther() throws IOException {
        String deep = "[{\"a\":".repeat(1_000_000) + "1" + "}]".repeat(1_000_000);
        List<JsonSlice> elements = slice("[1," + deep + ",2]").elements();
        assertThat(elements).hasSize(3);
        assertThat(text(elements.get(2))).isEqualTo("2");
    }

    @Test
    void anIncompleteOrMalformedAnswerIsRejected() {
        for (String broken : List.of(
                "", " ", "{", "[", "[1", "[1}", "{\"a\":[}", "{\"a\":[1}]", "\"a", "\"a\\", "{\"a\":1}}", "1 2")) {
            assertThatThrownBy(() -> slice(broken)).as(broken).isInstanceOf(IOException.class);
        }
        for (String broken : List.of("[1 2]", "[,]", "[1,]", "[:]")) {
            assertThatThrownBy(() -> slice(broken).elements()).as(broken).isInstanceOf(IOException.class);
        }
        for (String broken : List.of("{1:2}", "{\"a\" 1}", "{\"a\":}", "{\"a\":1,}", "{,}", "{\"a\":1 \"b\":2}")) {
            assertThatThrownBy(() -> slice(broken).field("a")).as(broken).isInstanceOf(IOException.class);
        }
    }

    /** Guards against a division that differs from the reader's, by which an object could get another one's content. */
    @Test
    void randomAnswersAreDividedAsTheReaderDividesThem() throws IOException {
        Random random = new Random(20261205);
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder();
            for (int length = random.nextInt(12) + 1; length > 0; length--) {
                text.append(List.of("[", "]", "{", "}", ",", ":", "\"a\"", "\"\\\"]\"", "1", "null", " ")
                        .get(random.nextInt(11)));
            }
            String element = text.toString();
            try {
                MAPPER.readerFor(Object.class)
                        .with(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .readValue(element);
            } catch (IOException _exception) {
                continue;
            }
            List<JsonSlice> elements =
                    slice("[" + element + "," + element + "]").elements();
            assertThat(elements).as(element).hasSize(2);
            assertThat(elements.get(1).read(MAPPER)).as(element).isEqualTo(MAPPER.readTree(element));
        }
    }

    private static JsonSlice slice(String text) throws IOException {
        return JsonSlice.of(Bytes.ofUtf8(text));
    }

    private static String text(JsonSlice slice) {
        return slice.copy().toUtf8();
    }
}
