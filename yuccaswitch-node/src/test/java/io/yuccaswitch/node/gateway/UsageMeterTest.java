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

/** Tests the reports to the core of requests that started to run. */
final class UsageMeterTest {

    private final List<Event> reports = new CopyOnWriteArrayList<>();

    @Test
    void reportsFullCountAfterEachChange() {
        Optional<AccountName> account = Optional.of(new AccountName("first"));
        try (UsageMeter meter = new UsageMeter(new UsageWindows(Duration.ofSeconds(5)), () -> 7000, reports::add)) {
            meter.count(account, 7000);
            meter.count(Optional.empty(), 7000);
            await().until(() -> reports.size() == 1);
            meter.count(account, 7000);
            await().until(() -> reports.size() == 2);
        }
        assertThat(reports)
                .containsExactly(
                        new UsageEvent.Counted(Map.of(1L, Map.of("first", 1L))),
                        new UsageEvent.Counted(Map.of(1L, Map.of("first", 2L))));
    }
}
