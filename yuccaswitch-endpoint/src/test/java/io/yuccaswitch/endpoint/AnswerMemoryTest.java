package io.yuccaswitch.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class AnswerMemoryTest {

    private final AnswerMemory memory = new AnswerMemory(100);
    private final AtomicInteger brokenOff = new AtomicInteger();

    @Test
    void theLargestAnswerIsBrokenOffBeyondTheBound() {
        AnswerMemory.Share large = memory.open(brokenOff::incrementAndGet);
        AnswerMemory.Share small = memory.open(() -> {
            throw new AssertionError("the smaller answer must not be broken off");
        });
        assertThat(large.add(70)).isTrue();
        assertThat(small.add(30)).isTrue();
        assertThat(small.add(1)).isTrue();
        assertThat(large.add(1)).isFalse();
        assertThat(large.isBrokenOff()).isTrue();
        assertThat(brokenOff).hasValue(1);
    }

    @Test
    void theMemoryOfAnAnswerThatWasReadIsFree() {
        try (AnswerMemory.Share share = memory.open(brokenOff::incrementAndGet)) {
            assertThat(share.add(100)).isTrue();
        }
        assertThat(memory.open(brokenOff::incrementAndGet).add(100)).isTrue();
        assertThat(brokenOff).hasValue(0);
    }
}
