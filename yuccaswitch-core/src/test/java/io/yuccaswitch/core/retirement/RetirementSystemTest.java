package io.yuccaswitch.core.retirement;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.site.TestSite;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests to empty a VM with a disk. */
final class RetirementSystemTest {

    private final TestSite site = new TestSite();
    private boolean responsible = true;

    @Test
    void aRequestIsCompletedByANodeThatIsResponsibleAgain() {
        site.start("node", (_node, tokens) -> List.of(new RetirementSystem(tokens, () -> responsible)));
        site.run(Duration.ofSeconds(1));
        responsible = false;
        site.platform().put(RetirementSystem.KIND, "store-1", "asked");
        site.run(Duration.ofSeconds(6));
        responsible = true;
        site.run(Duration.ofSeconds(20));
        assertThat(site.platform().find(RetirementSystem.KIND, "store-1"))
                .hasValueSatisfying(
                        object -> assertThat(object.value().toUtf8()).isEqualTo("completed"));
    }

    @Test
    void requestIsCompletedImmediately() {
        start();
        site.platform().put(RetirementSystem.KIND, "store-1", "asked");
        run(500);
        assertThat(value()).isEqualTo("completed");
    }

    @Test
    void requestIsCompletedAfterAnOutage() {
        start();
        run(100);
        site.platform().failWhere((_node, call) -> call instanceof PlatformEffect.Write);
        site.platform().put(RetirementSystem.KIND, "store-1", "asked");
        run(2000);
        assertThat(value()).isEqualTo("asked");
        site.platform().failWhere((_node, _call) -> false);
        run(1000);
        assertThat(value()).isEqualTo("completed");
    }

    @Test
    void nodeThatIsNotResponsibleAnswersNoRequests() {
        responsible = false;
        start();
        site.platform().put(RetirementSystem.KIND, "store-1", "asked");
        run(500);
        assertThat(value()).isEqualTo("asked");
        assertThat(site.platform().log()).isEmpty();
    }

    private void start() {
        site.start("node", (_node, tokens) -> List.of(new RetirementSystem(tokens, () -> responsible)));
    }

    private void run(int millis) {
        site.run(Duration.ofMillis(millis));
    }

    private String value() {
        return site.platform()
                .find(RetirementSystem.KIND, "store-1")
                .orElseThrow()
                .value()
                .toUtf8();
    }
}
