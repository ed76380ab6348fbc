package io.yuccaswitch.core.routing;

import io.yuccaswitch.core.endpoint.LoadReport;
import io.yuccaswitch.core.limit.ConcurrencyLimit;
import io.yuccaswitch.core.retry.EndpointHealth;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * The load of an endpoint as observed by this node.
 *
 * @param inFlight The number of requests of this node in flight at the endpoint.
 * @param reportedAt The time at which the latest load report was received, or empty if there was none.
 * @param inFlightAtReport The number of requests of this node in flight when that report was received.
 * @param limit The adaptive limit on requests of this node.
 * @param health Whether the endpoint is ejected.
 * @param model The fitted model of the iteration time.
 */
public record EndpointLoad(
        int inFlight,
        Optional<MonotonicTime> reportedAt,
        int inFlightAtReport,
        ConcurrencyLimit limit,
        EndpointHealth health,
        IterationTimeModel model) {

    /** The weight of the requests of other nodes, according to the measurements in docs/MEASUREMENTS.md. */
    private static final double REPORT_WEIGHT = 0.3;

    /**
     * Creates the load of an unused endpoint.
     *
     * @param limit The initial limit.
     * @return The load.
     */
    public static EndpointLoad unused(ConcurrencyLimit limit) {
        return new EndpointLoad(0, Optional.empty(), 0, limit, EndpointHealth.GOOD, IterationTimeModel.EMPTY);
    }

    /**
     * Returns this load after a request was sent.
     *
     * @return The updated load.
     */
    public EndpointLoad afterSend() {
        return withInFlight(inFlight + 1);
    }

    /**
     * Returns this load after a request completed.
     *
     * @return The updated load.
     */
    public EndpointLoad afterEnd() {
        return withInFlight(Math.max(0, inFlight - 1));
    }

    /**
     * Returns this load with a different number of requests in flight.
     *
     * @param changed The number of requests of this node in flight.
     * @return The updated load.
     */
    private EndpointLoad withInFlight(int changed) {
        return new EndpointLoad(changed, reportedAt, inFlightAtReport, limit, health, model);
    }

    /**
     * Returns this load updated for the latest report. Requests that this node sends after the report are added to its
     * figures.
     *
     * @param report The latest report, or empty if there is none.
     * @return The updated load, or this one if the report was already applied.
     */
    public EndpointLoad withReport(Optional<LoadReport> report) {
        Optional<MonotonicTime> received = report.map(LoadReport::receivedAt);
        if (received.isEmpty() || received.equals(reportedAt)) {
            return this;
        }
        return new EndpointLoad(inFlight, received, inFlight, limit, health, model);
    }

    /**
     * Returns this load with a different limit.
     *
     * @param changed The limit.
     * @return The updated load.
     */
    public EndpointLoad withLimit(ConcurrencyLimit changed) {
        return new EndpointLoad(inFlight, reportedAt, inFlightAtReport, changed, health, model);
    }

    /**
     * Returns this load with a different health.
     *
     * @param changed The health.
     * @return The updated load.
     */
    public EndpointLoad withHealth(EndpointHealth changed) {
        return new EndpointLoad(inFlight, reportedAt, inFlightAtReport, limit, changed, model);
    }

    /**
     * Returns this load with a different model.
     *
     * @param changed The model.
     * @return The updated load.
     */
    public EndpointLoad withModel(IterationTimeModel changed) {
        return new EndpointLoad(inFlight, reportedAt, inFlightAtReport, limit, health, changed);
    }

    /**
     * Estimates the load of an endpoint: this node's own requests in flight, which are always up to date, plus a share
     * of those of other nodes according to the report. The weight of the report decreases linearly with its age and is
     * zero beyond the maximum age. With full weight, delayed reports would make all nodes route to the endpoint that
     * was idle at the time of the report.
     *
     * @param report The latest report, or empty if there is none.
     * @param now The current time.
     * @param maximumAge The age beyond which a report is ignored.
     * @return The estimate, which is at least the number of this node's own requests in flight.
     */
    public double estimate(Optional<LoadReport> report, MonotonicTime now, Duration maximumAge) {
        if (report.isEmpty()) {
            return inFlight;
        }
        double age = (double) now.since(report.get().receivedAt()).toNanos() / maximumAge.toNanos();
        double ageFactor = Math.max(0, 1 - age);
        double reported = report.get().active() + report.get().waiting() + (inFlight - inFlightAtReport);
        return inFlight + REPORT_WEIGHT * ageFactor * Math.max(0, reported - inFlight);
    }

    /**
     * Returns whether another request may be sent.
     *
     * @return {@code true} if the limit is not reached.
     */
    public boolean hasRoom() {
        return inFlight < limit.limit();
    }
}
