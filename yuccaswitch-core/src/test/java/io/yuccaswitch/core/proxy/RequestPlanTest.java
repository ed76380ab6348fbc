package io.yuccaswitch.core.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.route.RequestKind;
import io.yuccaswitch.core.route.Route;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the number and the timeouts of the attempts of a plain request. */
final class RequestPlanTest {

    private static final PoolName POOL = new PoolName("pool");

    @Test
    void atMostOnceRequestIsNotRetriedAfterItMayHaveRun() {
        RequestPlan plan = plan(RequestKind.AT_MOST_ONCE, 3);
        send(plan, "one");
        plan.recordPossibleRun();
        assertThat(plan.mayRetry()).isFalse();
        assertThat(plan.mayHaveRun()).isTrue();
    }

    @Test
    void requestThatDefinitelyDidNotRunIsRetriedRegardlessOfItsKind() {
        RequestPlan plan = plan(RequestKind.AT_MOST_ONCE, 1);
        send(plan, "one");
        assertThat(plan.mayRetry()).isTrue();
        assertThat(plan.mayHaveRun()).isFalse();
    }

    @Test
    void idempotentRequestRunsAtNoMoreEndpointsThanItsRouteAllows() {
        RequestPlan plan = plan(RequestKind.IDEMPOTENT, 2);
        send(plan, "one");
        plan.recordPossibleRun();
        assertThat(plan.mayRetry()).isTrue();
        send(plan, "two");
        plan.recordPossibleRun();
        assertThat(plan.mayRetry()).isFalse();
    }

    @Test
    void numberOfSendsAfterRefusalsIsLimited() {
        RequestPlan plan = plan(RequestKind.IDEMPOTENT, 2);
        int sends = 0;
        while (plan.mayRetry()) {
            send(plan, "endpoint-" + sends++);
        }
        assertThat(sends).isEqualTo(4);
    }

    @Test
    void attemptLeavesTimeForAnotherOneIfOneIsAllowed() {
        RequestPlan plan = plan(RequestKind.IDEMPOTENT, 2);
        assertThat(plan.attemptTimeout(Duration.ofMillis(800))).isEqualTo(Duration.ofMillis(100));
        send(plan, "one");
        plan.recordPossibleRun();
        assertThat(plan.attemptTimeout(Duration.ofMillis(700))).isEqualTo(Duration.ofMillis(700));
    }

    @Test
    void onlyAttemptOfAnAtMostOnceRequestMayUseAllRemainingTime() {
        assertThat(plan(RequestKind.AT_MOST_ONCE, 3).attemptTimeout(Duration.ofMillis(800)))
                .isEqualTo(Duration.ofMillis(800));
    }

    private static void send(RequestPlan plan, String endpoint) {
        plan.begin(new EndpointName(POOL, endpoint));
    }

    private static RequestPlan plan(RequestKind kind, int attempts) {
        return new RequestPlan(new Route(
                "route",
                "site.example",
                "/a/",
                kind,
                List.of(new Route.PoolShare(POOL, 1)),
                Duration.ofSeconds(1),
                Duration.ofMillis(200),
                attempts,
                0,
                false,
                false,
                Optional.empty(),
                false));
    }
}
