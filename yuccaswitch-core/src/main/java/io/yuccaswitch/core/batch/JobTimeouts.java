package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.function.LongSupplier;

/** Computes the deadlines of jobs, which depend on when they were first submitted. */
final class JobTimeouts {

    /** The queue timeout of a job whose route no longer exists. */
    private static final Duration DEFAULT_QUEUE_TIMEOUT = Duration.ofSeconds(40);

    /** The configuration of routes. */
    private final RouteConfigurationSystem routes;

    /** Supplies the time of day in milliseconds since the epoch. Each call reads it from the shell. */
    private final LongSupplier timeOfDay;

    /**
     * Creates an instance.
     *
     * @param routes The configuration of routes.
     * @param timeOfDay Supplies the time of day in milliseconds since the epoch.
     */
    JobTimeouts(RouteConfigurationSystem routes, LongSupplier timeOfDay) {
        this.routes = routes;
        this.timeOfDay = timeOfDay;
    }

    /**
     * Returns the deadline of a job.
     *
     * @param job The job.
     * @param now The current time.
     * @return The time.
     */
    MonotonicTime deadline(BatchJob job, MonotonicTime now) {
        Duration allowed = routes.find(job.host(), job.path())
                .flatMap(Route::batch)
                .map(Route.BatchTerms::queueTimeout)
                .orElse(DEFAULT_QUEUE_TIMEOUT);
        long age = Math.max(0, timeOfDay.getAsLong() - job.submittedAt());
        return now.plus(allowed.minusMillis(Math.min(age, allowed.toMillis())));
    }
}
