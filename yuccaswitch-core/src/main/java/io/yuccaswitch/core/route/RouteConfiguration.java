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

/** One version of the configuration of all routes of a site. */
public final class RouteConfiguration {

    /** The version, which increases with each change. */
    private final long version;

    /** The routes of each host, in descending order of path length. */
    private final Map<String, List<Route>> byHost = new HashMap<>();

    /** The models that each pool of engines serves. */
    private final Map<PoolName, Set<String>> models;

    /** The limits on callers. */
    private final CallerLimits limits;

    /** The client accounts. */
    private final AccountDirectory accounts;

    /** The scaling terms of the pools whose endpoints can be requested from the cloud. */
    private final Map<PoolName, ScalingTerms> scaling;

    /** The terms of the engines of each pool of engines. */
    private final Map<PoolName, EngineTerms> engines;

    /**
     * Creates the configuration of a site without accounts.
     *
     * @param version The version.
     * @param routes The routes.
     * @param models The models that each pool of engines serves.
     * @param limits The limits on callers.
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
     * @param limits The limits on callers.
     * @param accounts The client accounts.
     * @param scaling The scaling terms of the pools whose endpoints can be requested from the cloud.
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
        engines = Map.of();
        routes.forEach(route ->
                byHost.computeIfAbsent(route.host(), _host -> new ArrayList<>()).add(route));
        byHost.values()
                .forEach(list -> list.sort(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed()));
    }

    /**
     * Creates a copy of a configuration with the terms of its engines.
     *
     * @param original The configuration.
     * @param engines The terms of the engines of each pool of engines.
     */
    private RouteConfiguration(RouteConfiguration original, Map<PoolName, EngineTerms> engines) {
        version = original.version;
        byHost.putAll(original.byHost);
        models = original.models;
        limits = original.limits;
        accounts = original.accounts;
        scaling = original.scaling;
        this.engines = Map.copyOf(engines);
    }

    /**
     * Returns this configuration with the terms of its engines.
     *
     * @param terms The terms of the engines of each pool of engines.
     * @return The configuration.
     */
    public RouteConfiguration withEngines(Map<PoolName, EngineTerms> terms) {
        return new RouteConfiguration(this, terms);
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
     * Returns the limits on callers.
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
     * Returns the scaling terms.
     *
     * @return The terms by pool, for the pools whose endpoints can be requested from the cloud.
     */
    public Map<PoolName, ScalingTerms> scaling() {
        return scaling;
    }

    /**
     * Returns the terms of the engines of a pool.
     *
     * @param pool The pool.
     * @return The terms.
     */
    public EngineTerms engines(PoolName pool) {
        return engines.getOrDefault(pool, EngineTerms.UNKNOWN);
    }

    /**
     * Determines the client account of a request on a route.
     *
     * @param credential The credential that was presented.
     * @param route The route.
     * @return The account, or empty if the request must be rejected.
     */
    public Optional<ClientAccount> authenticate(Credential credential, Route route) {
        return accounts.authenticate(credential, route.anonymous());
    }

    /**
     * Determines the client account of a call about a batch job. Such a call names no route: it is accepted without a
     * key if a route for batch jobs of its host accepts jobs without one, and then reaches only jobs that belong to no
     * account.
     *
     * @param credential The credential that was presented.
     * @param host The host, with or without a port.
     * @return The account, or empty if the request must be rejected.
     */
    public Optional<ClientAccount> authenticateBatchCall(Credential credential, String host) {
        boolean acceptsAnonymous = byHost.getOrDefault(normalizeHost(host), List.of()).stream()
                .anyMatch(route -> route.anonymous() && route.kind() == RequestKind.BATCH);
        return accounts.authenticate(credential, acceptsAnonymous);
    }

    /**
     * Finds the route of a request, which is the one with the longest path prefix that matches.
     *
     * @param host The host, with or without a port.
     * @param path The path, without a query.
     * @return The route, or empty if there is none.
     */
    public Optional<Route> find(String host, String path) {
        return byHost.getOrDefault(normalizeHost(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Normalizes the name of a host.
     *
     * @param host The host, with or without a port.
     * @return The name in lower case, without a port.
     */
    private static String normalizeHost(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether any route of a model's pool requires all results of a job to come from a single version.
     *
     * @param pool The pool.
     * @return {@code true} if a route of the pool does.
     */
    public boolean requiresSingleVersion(PoolName pool) {
        return byHost.values().stream()
                .flatMap(List::stream)
                .filter(route ->
                        route.pools().stream().anyMatch(share -> share.pool().equals(pool)))
                .anyMatch(Route::requiresSingleVersion);
    }

    /**
     * Limits on callers.
     *
     * @param maximumHeaderBytes The maximum size of a request's headers, in bytes.
     * @param maximumBodyBytes The maximum size of a request's body, in bytes.
     * @param idleTimeout The time after which an idle connection is closed.
     */
    public record CallerLimits(int maximumHeaderBytes, long maximumBodyBytes, Duration idleTimeout) {}
}
