package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;
import java.time.Duration;
import java.util.Collection;
import java.util.Set;

/** Keeps a request under which endpoints ended from the last one of a pool, which all other callers need. */
public final class LastEndpoint {

    /** How long an ended endpoint is usually away: it starts again within seconds. */
    static final Duration RETURN_TIME = Duration.ofSeconds(5);

    /** When a caller is told to come back meanwhile. */
    public static final Duration COME_BACK = Duration.ofSeconds(1);

    /** This class has no instances. */
    private LastEndpoint() {}

    /**
     * Returns whether at most one endpoint is left.
     *
     * @param working The endpoints that the registry names.
     * @param ended Those that have ended.
     * @return {@code true} if there is one or none.
     */
    public static boolean isLast(Collection<EndpointName> working, Set<EndpointName> ended) {
        return working.stream().filter(endpoint -> !ended.contains(endpoint)).count() <= 1;
    }
}
