package io.yuccaswitch.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests the descriptions of identifiers. */
final class CompactListTest {

    @Test
    void consecutiveNumbersAfterOnePrefixAreJoinedInAnyOrder() {
        assertThat(CompactList.of(List.of("job-7", "job-2", "job-0", "job-1", "job-3")))
                .isEqualTo("job-{0..3,7}");
    }

    @Test
    void anIdentifierWithoutANumberStandsAlone() {
        assertThat(CompactList.of(List.of("a-1", "beta", "a-10", "alpha"))).isEqualTo("a-{1,10} alpha beta");
    }

    @Test
    void paddedNumbersKeepTheirPadding() {
        assertThat(CompactList.of(List.of("s009", "s010", "s011", "s1"))).isEqualTo("s{1,009..011}");
    }

    @Test
    void anIdentifierThatOccursTwiceIsShownTwice() {
        assertThat(CompactList.of(List.of("a-1", "a-1", "a-2"))).isEqualTo("a-{1,1..2}");
    }

    @Test
    void aNumberBeyondSixtyFourBitsIsNotRead() {
        String id = "x" + "9".repeat(40);
        assertThat(CompactList.of(List.of(id, id + "0"))).isEqualTo(id + " " + id + "0");
    }

    @Test
    void identifiersBeyondTheBoundAreCounted() {
        List<String> odd =
                IntStream.range(0, 1000).mapToObj(i -> "job-" + (2 * i + 1)).toList();
        assertThat(CompactList.of(odd)).startsWith("job-{1,3,5").endsWith("} and 960 more");
        List<String> all = IntStream.range(0, 1000).mapToObj(i -> "job-" + i).toList();
        assertThat(CompactList.of(all)).isEqualTo("job-{0..999}");
    }

    @Test
    void theLengthIsBoundedForLongIdentifiers() {
        List<String> ids = Stream.of("a", "b", "c", "d", "e", "f", "g")
                .map(letter -> letter.repeat(99))
                .toList();
        assertThat(CompactList.of(ids)).hasSizeLessThan(620).endsWith(" and 1 more");
    }

    @Test
    void noIdentifiersGiveAnEmptyDescription() {
        assertThat(CompactList.of(List.of())).isEmpty();
    }
}
