package io.yuccaswitch.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class MemberRowTest {

    @Property(seed = "20261202")
    void theStrongestRowDoesNotDependOnTheOrderOfRows(@ForAll("rows") List<MemberRow> rows, @ForAll long seed) {
        List<MemberRow> shuffled = new ArrayList<>(rows);
        Collections.shuffle(shuffled, new Random(seed));

        assertThat(strongest(shuffled).summary()).isEqualTo(strongest(rows).summary());
    }

    @Property(seed = "20261202")
    void aSummaryComparesLikeItsRow(@ForAll("row") MemberRow one, @ForAll("row") MemberRow other) {
        assertThat(one.summary().isNewerThan(other)).isEqualTo(one.supersedes(other));
        assertThat(one.summary().isOlderThan(other)).isEqualTo(other.supersedes(one));
    }

    @Test
    void strongerConditionsSupersedeInTheSameIncarnationAndAHigherIncarnationSupersedesAll() {
        MemberRow alive = row(1, 0, MemberCondition.ALIVE);
        assertThat(row(1, 0, MemberCondition.LEAVING).supersedes(alive)).isTrue();
        assertThat(row(1, 0, MemberCondition.DEAD).supersedes(row(1, 0, MemberCondition.LEAVING)))
                .isTrue();
        assertThat(row(2, 0, MemberCondition.ALIVE).supersedes(row(1, 9, MemberCondition.DEAD)))
                .isTrue();
        assertThat(alive.supersedes(alive)).isFalse();
    }

    @Provide
    Arbitrary<MemberRow> row() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.longs().between(0, 3),
                        Arbitraries.of(MemberCondition.class))
                .as(MemberRowTest::row);
    }

    @Provide
    Arbitrary<List<MemberRow>> rows() {
        return row().list().ofMinSize(1).ofMaxSize(8);
    }

    private static MemberRow strongest(List<MemberRow> rows) {
        MemberRow result = rows.get(0);
        for (MemberRow row : rows) {
            result = row.supersedes(result) ? row : result;
        }
        return result;
    }

    private static MemberRow row(long incarnation, long revision, MemberCondition condition) {
        Member member = new Member(
                new NodeIdentity(new NodeName("vm-1"), incarnation),
                new AvailabilityZone("garia"),
                "kolkata",
                "127.0.0.1:1",
                "127.0.0.1:2",
                "127.0.0.1:3",
                condition);
        return new MemberRow(member, revision);
    }
}
