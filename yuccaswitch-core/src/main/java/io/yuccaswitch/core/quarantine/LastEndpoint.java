package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;
import java.time.Duration;
import java.util.Collection;
import java.util.Set;

/**
 * Protects the last endpoint of a pool, which all other callers need, from a request that endpoints were processing
 * when they terminated.
 */
public final class LastEndpoint {

    /** The time in which a terminated endpoint usually restarts, which is within seconds. */
    static final Duration RESTART_DURATION = Duration.ofSeconds(5);

    /** The delay after which a caller may retry in the meantime. */
    public static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** This class has no instances. */
    private LastEndpoint() {}

    /**
     * Returns whether at most one endpoint of a pool is left.
     *
     * @param working The endpoints that the registry lists.
     * @param ended The endpoints that have terminated.
     * @return {@code true} if one endpoint or none is left.
     */
    public static boolean isLast(Collection<EndpointName> working, Set<EndpointName> ended) {
        return working.stream().filter(endpoint -> !ended.contains(endpoint)).count() <= 1;
    }
}
