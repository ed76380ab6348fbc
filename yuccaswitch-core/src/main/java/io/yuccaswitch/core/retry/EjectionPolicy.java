package io.yuccaswitch.core.retry;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Takes ejected endpoints out of the candidates, but never so many that the rest collapses. */
public final class EjectionPolicy {

    /** This class has no instances. */
    private EjectionPolicy() {}

    /**
     * Returns the candidates that stay in use.
     *
     * @param candidates The candidates.
     * @param health Tells the health of a candidate.
     * @param floor The share of the candidates that stays in use however many fail.
     * @param now The time.
     * @param <C> The type of the candidates.
     * @return The candidates that are not ejected and, below the floor, those whose ejection is over first.
     */
    public static <C> List<C> inUse(
            List<C> candidates, Function<C, EndpointHealth> health, double floor, MonotonicTime now) {
        List<C> inUse = new ArrayList<>();
        List<C> ejected = new ArrayList<>();
        for (C candidate : candidates) {
            (health.apply(candidate).ejected(now) ? ejected : inUse).add(candidate);
        }
        int least = (int) Math.ceil(floor * candidates.size());
        if (inUse.size() >= least) {
            return inUse;
        }
        ejected.sort(Comparator.comparing(
                candidate -> health.apply(candidate).ejectedUntil().orElse(now)));
        inUse.addAll(ejected.subList(0, least - inUse.size()));
        return inUse;
    }
}
