package io.yuccaswitch.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class RequestNumbersTest {

    private static final NodeName NODE = new NodeName("node-1");
    private static final int REQUESTS = 100_000;

    /** Two starts of a process within a millisecond of the clock from which incarnations are taken. */
    private static final long INCARNATION = 1_796_409_552_196L;

    @Test
    void numbersDifferFromThoseOfThePreviousIncarnation() {
        Set<Long> numbers = new HashSet<>();
        for (long incarnation = INCARNATION; incarnation <= INCARNATION + 1; incarnation++) {
            RequestNumbers sequence = new RequestNumbers(new NodeIdentity(NODE, incarnation));
            for (int i = 0; i < REQUESTS; i++) {
                numbers.add(sequence.next());
            }
        }
        assertThat(numbers).hasSize(2 * REQUESTS).allMatch(number -> number > 0);
    }
}
