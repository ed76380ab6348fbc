package io.yuccaswitch.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.settings.SettingsValue.ListValue;
import io.yuccaswitch.settings.SettingsValue.NullValue;
import io.yuccaswitch.settings.SettingsValue.NumberValue;
import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

final class SettingsMergePropertiesTest {

    private static final SourcePosition POSITION = new SourcePosition("file", 1);

    private static final ObjectValue EMPTY = ObjectValue.empty(POSITION);

    @Property(tries = 150)
    void aMergedFolderHasNoNulls(@ForAll("objects") ObjectValue earlier, @ForAll("objects") ObjectValue later) {
        assertThat(hasNull(merge(merge(EMPTY, earlier), later))).isFalse();
    }

    @Property(tries = 150)
    void mergingAFileIsIdempotent(@ForAll("objects") ObjectValue earlier, @ForAll("objects") ObjectValue later) {
        ObjectValue once = merge(merge(EMPTY, earlier), later);
        assertThat(merge(once, later)).isEqualTo(once);
    }

    @Property(tries = 150)
    void leavesOfTheLaterFileReplaceValuesAndItsNullsRemoveKeys(
            @ForAll("objects") ObjectValue earlier, @ForAll("objects") ObjectValue later) {
        assertPatchApplied(later, merge(merge(EMPTY, earlier), later));
    }

    @Property(tries = 150)
    void keysThatTheLaterFileOmitsAreUnchanged(
            @ForAll("objects") ObjectValue earlier, @ForAll("objects") ObjectValue later) {
        ObjectValue base = merge(EMPTY, earlier);
        ObjectValue merged = merge(base, later);
        base.entries().forEach((key, value) -> {
            if (!later.entries().containsKey(key)) {
                assertThat(merged.entries()).containsEntry(key, value);
            }
        });
    }

    @Property(tries = 150)
    void canonicalJsonDoesNotDependOnTheOrderOfKeysAndIsParsedUnchanged(@ForAll("objects") ObjectValue object) {
        ObjectValue merged = merge(EMPTY, object);
        String text = CanonicalJson.toText(merged);
        SettingsFolder parsed = SettingsFolder.ofTexts("folder", Map.of("file", text));
        assertThat(parsed.errors()).isEmpty();
        assertThat(CanonicalJson.toText(parsed.content())).isEqualTo(text);
        assertThat(CanonicalJson.toText(reversed(merged))).isEqualTo(text);
    }

    @Provide
    Arbitrary<ObjectValue> objects() {
        return objects(2);
    }

    private static Arbitrary<ObjectValue> objects(int depth) {
        Arbitrary<SettingsValue> leaf = Arbitraries.oneOf(
                Arbitraries.just(new NullValue(POSITION)),
                Arbitraries.bigDecimals()
                        .between(BigDecimal.valueOf(-1000), BigDecimal.valueOf(1000))
                        .map(number -> new NumberValue(number, POSITION)),
                Arbitraries.integers().between(0, 3).list().ofMaxSize(2).map(SettingsMergePropertiesTest::list));
        Arbitrary<SettingsValue> value =
                depth == 0 ? leaf : Arbitraries.oneOf(leaf, objects(depth - 1).map(SettingsValue.class::cast));
        return Arbitraries.maps(Arbitraries.of("a", "b", "c", "d.e"), value)
                .ofMaxSize(4)
                .map(entries -> new ObjectValue(entries, POSITION));
    }

    private static SettingsValue list(List<Integer> numbers) {
        return new ListValue(
                numbers.stream()
                        .<SettingsValue>map(number -> new NumberValue(BigDecimal.valueOf(number), POSITION))
                        .collect(Collectors.toList()),
                POSITION);
    }

    private static ObjectValue merge(ObjectValue earlier, ObjectValue later) {
        return new SettingsMerge().merge(earlier, later);
    }

    private static ObjectValue reversed(ObjectValue object) {
        Map<String, SettingsValue> entries = new LinkedHashMap<>();
        List<String> keys = new ArrayList<>(object.entries().keySet());
        Collections.reverse(keys);
        for (String key : keys) {
            SettingsValue value = object.entries().get(key);
            entries.put(key, value instanceof ObjectValue inner ? reversed(inner) : value);
        }
        return new ObjectValue(entries, POSITION);
    }

    private static boolean hasNull(ObjectValue object) {
        return object.entries().values().stream()
                .anyMatch(
                        value -> value instanceof NullValue || (value instanceof ObjectValue inner && hasNull(inner)));
    }

    private static void assertPatchApplied(ObjectValue patch, ObjectValue merged) {
        patch.entries().forEach((key, value) -> {
            if (value instanceof NullValue) {
                assertThat(merged.entries()).doesNotContainKey(key);
            } else if (value instanceof ObjectValue inner) {
                assertThat(merged.entries().get(key)).isInstanceOf(ObjectValue.class);
                assertPatchApplied(inner, (ObjectValue) merged.entries().get(key));
            } else {
                assertThat(merged.entries()).containsEntry(key, value);
            }
        });
    }
}
