package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.usage.UsageEvent;
import io.yuccaswitch.core.usage.UsageWindows;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

/** What the core is told of requests that began to run. */
final class UsageMeterTest {

    private final List<Event> told = new CopyOnWriteArrayList<>();

    @Test
    void theCoreIsToldInFullWhatHasGrownAndAgainWhenItGrowsMore() {
        Optional<AccountName> account = Optional.of(new AccountName("first"));
        try (UsageMeter meter = new UsageMeter(new UsageWindows(Duration.ofSeconds(5)), () -> 7000, told::add)) {
            meter.count(account, 7000);
            meter.count(Optional.empty(), 7000);
            await().until(() -> told.size() == 1);
            meter.count(account, 7000);
            await().until(() -> told.size() == 2);
        }
        assertThat(told)
                .containsExactly(
                        new UsageEvent.Counted(Map.of(1L, Map.of("first", 1L))),
                        new UsageEvent.Counted(Map.of(1L, Map.of("first", 2L))));
    }
}
