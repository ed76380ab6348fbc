package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.function.LongSupplier;

/** Finds out when jobs are given up, which depends on when they were first submitted. */
final class GiveUpTimes {

    /** The time after which a job of a route that is not known any more is given up. */
    private static final Duration FALLBACK = Duration.ofSeconds(40);

    /** The configuration of routes. */
    private final RouteConfigurationSystem routes;

    /** Tells the time of day in milliseconds since the epoch. It comes from the shell with each reading. */
    private final LongSupplier timeOfDay;

    /**
     * Creates a helper.
     *
     * @param routes The configuration of routes.
     * @param timeOfDay Tells the time of day in milliseconds since the epoch.
     */
    GiveUpTimes(RouteConfigurationSystem routes, LongSupplier timeOfDay) {
        this.routes = routes;
        this.timeOfDay = timeOfDay;
    }

    /**
     * Returns when a job is given up.
     *
     * @param job The job.
     * @param now The present.
     * @return The time.
     */
    MonotonicTime of(BatchJob job, MonotonicTime now) {
        Duration allowed = routes.find(job.host(), job.path())
                .flatMap(Route::batch)
                .map(Route.BatchTerms::queueTimeout)
                .orElse(FALLBACK);
        long age = Math.max(0, timeOfDay.getAsLong() - job.submittedAt());
        return now.plus(allowed.minusMillis(Math.min(age, allowed.toMillis())));
    }
}
