package io.yuccaswitch.core.sample;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.TrainerName;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class CursorCodecTest {

    private static final TrainerName TRAINER = new TrainerName("matcher");

    @Property(tries = 200, seed = "20261202")
    void anEncodedCursorIsDecodedUnchanged(
            @ForAll @Size(max = 50) Set<@LongRange(max = 200) Long> steps,
            @ForAll @IntRange(min = 1, max = 99) int groups) {
        Cursor cursor = Cursor.start(TRAINER).with(keys(steps, groups));

        assertThat(CursorCodec.decode(TRAINER, CursorCodec.encode(cursor)))
                .isEqualTo(new CursorCodec.Reading.Valid(cursor));
    }

    @Property(tries = 200, seed = "20261202")
    void aChangedCharacterIsDetected(
            @ForAll @IntRange(max = 1000) int position, @ForAll @IntRange(min = 1, max = 9) int offset) {
        String text = CursorCodec.encode(Cursor.start(TRAINER).with(keys(Set.of(1L, 2L, 9L), 20)));
        int index = position % text.length();
        char changed = (char) ('0' + (text.charAt(index) + offset) % 10);
        String damaged = text.substring(0, index) + changed + text.substring(index + 1);

        if (!damaged.equals(text)) {
            assertThat(CursorCodec.decode(TRAINER, damaged)).isInstanceOf(CursorCodec.Reading.Malformed.class);
        }
    }

    @Property(tries = 200, seed = "20261202")
    void arbitraryTextIsMalformed(@ForAll String text) {
        assertThat(CursorCodec.decode(TRAINER, text)).isInstanceOf(CursorCodec.Reading.Malformed.class);
    }

    @Property(tries = 100, seed = "20261202")
    void aJoinContainsTheGroupsOfBothCursors(
            @ForAll @Size(max = 20) Set<@LongRange(max = 5000) Long> left,
            @ForAll @Size(max = 20) Set<@LongRange(max = 5000) Long> right) {
        Cursor first = Cursor.start(TRAINER).with(keys(left, 2));
        Cursor other = Cursor.start(TRAINER).with(keys(right, 3));
        Cursor joined = first.join(other);

        assertThat(joined).isEqualTo(other.join(first));
        assertThat(joined.covers(first)).isTrue();
        assertThat(joined.covers(other)).isTrue();
        assertThat(joined.join(first)).isEqualTo(joined);
        assertThat(keys(right, 3)).allMatch(joined::contains);
    }

    @Test
    void aCursorStaysShortOverALongTraining() {
        Cursor cursor = Cursor.start(TRAINER);
        for (long step = 0; step < 20_000; step++) {
            cursor = cursor.with(keys(Set.of(step), 128));
        }

        assertThat(CursorCodec.encode(cursor).length()).isLessThan(120);
        assertThat(cursor.contains(new GroupKey(TRAINER, 3, 900_000))).isTrue();
        assertThat(cursor.contains(new GroupKey(TRAINER, 19_999, 128))).isFalse();
    }

    private static List<GroupKey> keys(Set<Long> steps, int groups) {
        List<GroupKey> keys = new ArrayList<>();
        for (long step : steps.stream().sorted().collect(Collectors.toList())) {
            for (int group = 0; group < groups; group++) {
                keys.add(new GroupKey(TRAINER, step, group));
            }
        }
        return keys;
    }
}
