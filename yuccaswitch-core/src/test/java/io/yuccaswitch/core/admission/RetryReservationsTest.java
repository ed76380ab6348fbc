package io.yuccaswitch.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

final class RetryReservationsTest {

    private static final MonotonicTime NOW =
            new MonotonicTime(Duration.ofHours(1).toNanos());
    private static final RetryReservations.Capacity CAPACITY =
            new RetryReservations.Capacity(Duration.ZERO, Duration.ofMillis(5));

    private final RetryReservations reservations = new RetryReservations();

    /** Guards against refused callers that return together, of which all but a few are refused again. */
    @Property(tries = 100, seed = "20261202")
    void noMoreCallersReturnThanSlotsBecomeFreeAndNoneLaterThanAThirdOfItsTime(
            @ForAll @IntRange(min = 1, max = 60) int callers,
            @ForAll @LongRange(min = 1, max = 500) long intervalMillis,
            @ForAll @LongRange(min = 0, max = 60_000) long remainingMillis) {
        RetryReservations tested = new RetryReservations();
        Duration interval = Duration.ofMillis(intervalMillis);
        Duration third = Duration.ofMillis(remainingMillis).dividedBy(3);
        List<Duration> delays = new ArrayList<>();
        for (int index = 0; index < callers; index++) {
            Duration delay = tested.reserve(
                    new RetryReservations.Caller(new CallerName("account-" + index % 4), 1, index % 3),
                    new RetryReservations.Capacity(Duration.ZERO, interval),
                    Duration.ofMillis(remainingMillis),
                    NOW,
                    0);
            assertThat(delay).isLessThanOrEqualTo(third);
            if (delay.compareTo(third) < 0) {
                delays.add(delay);
            }
        }
        delays.sort(null);
        for (int index = 1; index < delays.size(); index++) {
            assertThat(delays.get(index).minus(delays.get(index - 1))).isGreaterThanOrEqualTo(interval);
        }
    }

    /** Guards against a jitter that exceeds a tenth or the limit. */
    @Property(tries = 100, seed = "20261202")
    void jitterIsATenthOfTheDelay(@ForAll @DoubleRange(min = 0, max = 0.99) double drawn) {
        RetryReservations.Caller caller = new RetryReservations.Caller(new CallerName("one"), 1, 0);
        assertThat(new RetryReservations().reserve(caller, CAPACITY, Duration.ofSeconds(3), NOW, drawn))
                .isBetween(Duration.ofMillis(20), Duration.ofMillis(22));
        assertThat(new RetryReservations().reserve(caller, CAPACITY, Duration.ofMillis(30), NOW, drawn))
                .isBetween(Duration.ofMillis(9), Duration.ofMillis(10));
    }

    /** Guards against a large account whose refused callers take all times before those of others. */
    @Test
    void callerOfASmallAccountReturnsBeforeTheManyOfALargeOne() {
        reserve("small", 1);
        for (int index = 0; index < 50; index++) {
            reserve("large", 1);
        }
        assertThat(reserve("small", 1)).isLessThan(Duration.ofMillis(60));
        assertThat(reserve("large", 1)).isGreaterThan(Duration.ofMillis(400));
    }

    /**
     * Guards against large accounts that reserved all near times before the first caller of a small one was refused.
     */
    @Test
    void firstCallerOfAnAccountReturnsBeforeTheManyOfLargeOnes() {
        for (int index = 0; index < 100; index++) {
            reserve("large-" + index % 2, 1);
        }
        assertThat(reserve("small", 1)).isLessThan(Duration.ofMillis(60));
    }

    /** Guards against first callers of many accounts that return together. */
    @Test
    void firstCallersOfManyAccountsReturnOneAfterTheOther() {
        for (int index = 0; index < 100; index++) {
            reserve("large-" + index % 2, 1);
        }
        List<Duration> delays = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            delays.add(reserve("small-" + index, 1));
        }
        for (int index = 1; index < delays.size(); index++) {
            assertThat(delays.get(index).minus(delays.get(index - 1))).isGreaterThanOrEqualTo(Duration.ofMillis(5));
        }
        assertThat(delays.get(19)).isLessThanOrEqualTo(Duration.ofMillis(20 + 22 * 5));
    }

    /** Guards against less urgent callers that take all times before those of urgent ones. */
    @Test
    void urgentCallerReturnsBeforeManyLessUrgentOnes() {
        reserve("urgent", 0);
        for (int index = 0; index < 50; index++) {
            reserve("other-" + index, 3);
        }
        assertThat(reserve("another-urgent", 0)).isLessThanOrEqualTo(Duration.ofMillis(35));
    }

    /** Guards against state that grows with refusals of the past. */
    @Test
    void passedTimesAreForgotten() {
        Duration first = reserve("one", 1);
        for (int index = 0; index < 20; index++) {
            reserve("one", 1);
        }
        Duration later = reservations.reserve(
                new RetryReservations.Caller(new CallerName("one"), 1, 1),
                CAPACITY,
                Duration.ofSeconds(30),
                NOW.plus(Duration.ofSeconds(5)),
                0);
        assertThat(later).isEqualTo(first);
    }

    private Duration reserve(String account, int priority) {
        return reservations.reserve(
                new RetryReservations.Caller(new CallerName(account), 1, priority),
                CAPACITY,
                Duration.ofSeconds(30),
                NOW,
                0);
    }
}
