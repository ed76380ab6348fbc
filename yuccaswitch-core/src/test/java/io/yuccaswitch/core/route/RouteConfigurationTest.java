package io.yuccaswitch.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the selection of routes, and that versions never decrease. */
final class RouteConfigurationTest {

    @Test
    void routeWithTheLongestMatchingPathIsSelected() {
        RouteConfiguration routes = configuration(1, route("short", "/a/"), route("long", "/a/b/"));
        assertThat(routes.find("site.example", "/a/b/c").map(Route::name)).contains("long");
        assertThat(routes.find("site.example", "/a/x").map(Route::name)).contains("short");
        assertThat(routes.find("site.example", "/b/")).isEmpty();
    }

    @Test
    void hostIsComparedWithoutPortAndIgnoringCase() {
        RouteConfiguration routes = configuration(1, route("only", "/a/"));
        assertThat(routes.find("Site.Example:8080", "/a/x")).isPresent();
        assertThat(routes.find("other.example", "/a/x")).isEmpty();
    }

    @Test
    void poolsAreSelectedByTheirShares() {
        Route route = withPools(List.of(
                new Route.PoolShare(new PoolName("large"), 90), new Route.PoolShare(new PoolName("small"), 10)));
        assertThat(route.pick(0.0)).contains(new PoolName("large"));
        assertThat(route.pick(0.899)).contains(new PoolName("large"));
        assertThat(route.pick(0.901)).contains(new PoolName("small"));
    }

    @Test
    void poolWithoutAShareIsNeverSelected() {
        Route route = withPools(
                List.of(new Route.PoolShare(new PoolName("none"), 0), new Route.PoolShare(new PoolName("all"), 5)));
        assertThat(route.pick(0)).contains(new PoolName("all"));
    }

    @Test
    void versionIsReplacedOnlyByAHigherOne() {
        TestSite site = new TestSite();
        RouteConfigurationSystem[] system = new RouteConfigurationSystem[1];
        site.start("node", (node, tokens) -> {
            system[0] = new RouteConfigurationSystem(
                    new SharedWatches(node),
                    tokens,
                    object -> Optional.of(
                            configuration(Long.parseLong(object.value().toUtf8()))));
            return List.of(system[0]);
        });
        site.platform().put(RouteConfigurationSystem.KIND, "main", "7");
        site.run(Duration.ofMillis(300));
        site.platform().put(RouteConfigurationSystem.KIND, "main", "6");
        site.run(Duration.ofMillis(300));
        assertThat(system[0].active().orElseThrow().version()).isEqualTo(7);
        site.platform().put(RouteConfigurationSystem.KIND, "main", "9");
        site.run(Duration.ofMillis(300));
        assertThat(system[0].active().orElseThrow().version()).isEqualTo(9);
    }

    static Route route(String name, String prefix) {
        return new Route(
                name,
                "site.example",
                prefix,
                RequestKind.IDEMPOTENT,
                List.of(new Route.PoolShare(new PoolName("pool"), 1)),
                Duration.ofSeconds(1),
                Duration.ofMillis(200),
                2,
                0,
                false,
                false,
                Optional.empty(),
                false);
    }

    private static Route withPools(List<Route.PoolShare> pools) {
        Route route = route("any", "/a/");
        return new Route(
                route.name(),
                route.host(),
                route.pathPrefix(),
                route.kind(),
                pools,
                route.timeout(),
                route.latencyTarget(),
                route.maximumAttempts(),
                route.priority(),
                route.streaming(),
                route.resumable(),
                route.batch(),
                false);
    }

    private static RouteConfiguration configuration(long version, Route... routes) {
        return new RouteConfiguration(
                version,
                List.of(routes),
                Map.of(),
                new RouteConfiguration.CallerLimits(16384, 1 << 20, Duration.ofSeconds(15)));
    }
}
