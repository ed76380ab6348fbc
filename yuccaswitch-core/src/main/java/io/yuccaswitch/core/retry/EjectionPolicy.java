package io.yuccaswitch.core.retry;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Removes ejected endpoints from the candidates, but never so many that the remaining ones would be overloaded. */
public final class EjectionPolicy {

    /** This class has no instances. */
    private EjectionPolicy() {}

    /**
     * Returns the candidates that remain in use.
     *
     * @param candidates The candidates.
     * @param health Returns the health of a candidate.
     * @param floor The minimum share of the candidates that remains in use, regardless of how many fail.
     * @param now The current time.
     * @param <C> The type of the candidates.
     * @return The candidates that are not ejected and, if these are fewer than the minimum, those whose ejection ends
     *     first.
     */
    public static <C> List<C> inUse(
            List<C> candidates, Function<C, EndpointHealth> health, double floor, MonotonicTime now) {
        List<C> inUse = new ArrayList<>();
        List<C> ejected = new ArrayList<>();
        for (C candidate : candidates) {
            (health.apply(candidate).isEjected(now) ? ejected : inUse).add(candidate);
        }
        int minimum = (int) Math.ceil(floor * candidates.size());
        if (inUse.size() >= minimum) {
            return inUse;
        }
        ejected.sort(Comparator.comparing(
                candidate -> health.apply(candidate).ejectedUntil().orElse(now)));
        inUse.addAll(ejected.subList(0, minimum - inUse.size()));
        return inUse;
    }
}
