package io.yuccaswitch.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.value.Bytes;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

final class SuspectTest {

    private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2);

    @Property(tries = 300)
    void mergeIsCommutativeAssociativeAndIdempotent(
            @ForAll("suspects") Suspect first, @ForAll("suspects") Suspect second, @ForAll("suspects") Suspect third) {
        assertThat(first.merge(second)).isEqualTo(second.merge(first));
        assertThat(first.merge(second).merge(third)).isEqualTo(first.merge(second.merge(third)));
        assertThat(first.merge(first)).isEqualTo(first);
        assertThat(first.merge(second).merge(second)).isEqualTo(first.merge(second));
    }

    @Property(tries = 100)
    void decodedSuspectEqualsTheOriginal(@ForAll("suspects") Suspect suspect) {
        assertThat(SuspectCodec.decode(SuspectCodec.encode(List.of(suspect)))).containsExactly(suspect);
    }

    @Test
    void linesThatCannotBeDecodedAreSkipped() {
        Suspect suspect = new Suspect(REQUEST, "POST /x");
        Bytes text = Bytes.ofUtf8("\nnothing\n" + SuspectCodec.encode(suspect) + "\n" + REQUEST + " 0 0 a/b x\n");
        assertThat(SuspectCodec.decode(text)).containsExactly(suspect);
    }

    @Test
    void distantTerminationsOfAnEndpointWithoutIncarnationsCountTwice() {
        EndpointName endpoint = new EndpointName(new PoolName("ledger"), "e1");
        Suspect suspect = new Suspect(REQUEST, "")
                .withEvidence(new CrashEvidence(endpoint, 10_000, true))
                .withEvidence(new CrashEvidence(endpoint, 10_500, true))
                .withEvidence(new CrashEvidence(endpoint, 15_000, true));
        assertThat(suspect.count()).isEqualTo(2);
    }

    @Provide
    Arbitrary<Suspect> suspects() {
        Arbitrary<CrashEvidence> crashEvidence = Combinators.combine(
                        Arbitraries.integers().between(1, 4),
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.of(true, false))
                .as((name, incarnation, certain) -> new CrashEvidence(
                        new EndpointName(new PoolName("ledger"), "e" + name, incarnation),
                        1000 * name + incarnation,
                        certain));
        return Combinators.combine(
                        crashEvidence.list().ofMaxSize(6),
                        Arbitraries.longs().between(0, 5000),
                        Arbitraries.longs().between(0, 3000))
                .as((list, trialAt, clearedAt) -> list.stream()
                        .reduce(
                                new Suspect(REQUEST, "POST site.example/x", List.of(), trialAt, clearedAt),
                                Suspect::withEvidence,
                                Suspect::merge));
    }
}
