package io.yuccaswitch.core.route;

import io.yuccaswitch.core.account.AccountDirectory;
import io.yuccaswitch.core.account.ClientAccount;
import io.yuccaswitch.core.account.Credential;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.scaling.ScalingTerms;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** All routes of a site at one version. */
public final class RouteConfiguration {

    /** The version, which grows with each change. */
    private final long version;

    /** The routes of each host, those with the longest paths first. */
    private final Map<String, List<Route>> byHost = new HashMap<>();

    /** The models that each pool of engines serves. */
    private final Map<PoolName, Set<String>> models;

    /** What callers may send. */
    private final CallerLimits limits;

    /** The client accounts. */
    private final AccountDirectory accounts;

    /** What the cloud offers for the pools whose endpoints it can be asked for. */
    private final Map<PoolName, ScalingTerms> scaling;

    /**
     * Creates the configuration of a site without accounts.
     *
     * @param version The version.
     * @param routes The routes.
     * @param models The models that each pool of engines serves.
     * @param limits What callers may send.
     */
    public RouteConfiguration(
            long version, List<Route> routes, Map<PoolName, Set<String>> models, CallerLimits limits) {
        this(version, routes, models, limits, AccountDirectory.NONE, Map.of());
    }

    /**
     * Creates a configuration.
     *
     * @param version The version.
     * @param routes The routes.
     * @param models The models that each pool of engines serves.
     * @param limits What callers may send.
     * @param accounts The client accounts.
     * @param scaling What the cloud offers for the pools whose endpoints it can be asked for.
     */
    public RouteConfiguration(
            long version,
            List<Route> routes,
            Map<PoolName, Set<String>> models,
            CallerLimits limits,
            AccountDirectory accounts,
            Map<PoolName, ScalingTerms> scaling) {
        this.version = version;
        this.models = Map.copyOf(models);
        this.limits = limits;
        this.accounts = accounts;
        this.scaling = Map.copyOf(scaling);
        routes.forEach(route ->
                byHost.computeIfAbsent(route.host(), _host -> new ArrayList<>()).add(route));
        byHost.values()
                .forEach(list -> list.sort(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed()));
    }

    /**
     * Returns the version.
     *
     * @return The version.
     */
    public long version() {
        return version;
    }

    /**
     * Returns what callers may send.
     *
     * @return The limits.
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the models that each pool of engines serves.
     *
     * @return The models by pool.
     */
    public Map<PoolName, Set<String>> models() {
        return models;
    }

    /**
     * Returns what the cloud offers.
     *
     * @return The terms by pool, for those whose endpoints it can be asked for.
     */
    public Map<PoolName, ScalingTerms> scaling() {
        return scaling;
    }

    /**
     * Finds out whose a request on a route is.
     *
     * @param credential What the request presents.
     * @param route The route.
     * @return Whose it is, or empty if it is to be turned away.
     */
    public Optional<ClientAccount> authenticate(Credential credential, Route route) {
        return accounts.authenticate(credential, route.anonymous());
    }

    /**
     * Finds out whose a call about a batch job is. Such a call names no route: it may come without a key if a route for
     * batch jobs of its host takes jobs without one, and then it reaches just jobs that belong to no account.
     *
     * @param credential What the call presents.
     * @param host The host, with or without a port.
     * @return Whose it is, or empty if it is to be turned away.
     */
    public Optional<ClientAccount> authenticateBatchCall(Credential credential, String host) {
        boolean open = byHost.getOrDefault(nameOf(host), List.of()).stream()
                .anyMatch(route -> route.anonymous() && route.kind() == RequestKind.BATCH);
        return accounts.authenticate(credential, open);
    }

    /**
     * Finds the route of a request, which is the one with the longest path that begins the request's path.
     *
     * @param host The host, with or without a port.
     * @param path The path, without a query.
     * @return The route, or empty if there is none.
     */
    public Optional<Route> find(String host, String path) {
        return byHost.getOrDefault(nameOf(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Returns the name of a host.
     *
     * @param host The host, with or without a port.
     * @return The name in lower case.
     */
    private static String nameOf(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether any route of a model's pool demands results from one version alone.
     *
     * @param pool The pool.
     * @return {@code true} if a route of the pool does.
     */
    public boolean demandsSingleVersion(PoolName pool) {
        return byHost.values().stream()
                .flatMap(List::stream)
                .filter(route ->
                        route.pools().stream().anyMatch(share -> share.pool().equals(pool)))
                .anyMatch(Route::demandsSingleVersion);
    }

    /**
     * What callers may send, and how long they may take.
     *
     * @param maximumHeaderBytes The largest size of a request's headers, in bytes.
     * @param maximumBodyBytes The largest size of a request's body, in bytes.
     * @param idleTimeout The time after which an idle connection is closed.
     */
    public record CallerLimits(int maximumHeaderBytes, long maximumBodyBytes, Duration idleTimeout) {}
}
