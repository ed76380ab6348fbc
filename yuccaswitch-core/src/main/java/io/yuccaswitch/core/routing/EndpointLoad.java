package io.yuccaswitch.core.routing;

import io.yuccaswitch.core.endpoint.LoadReport;
import io.yuccaswitch.core.limit.ConcurrencyLimit;
import io.yuccaswitch.core.retry.EndpointHealth;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * What this node knows of an endpoint from its own requests.
 *
 * @param inFlight The number of requests of this node in progress at the endpoint.
 * @param reportedAt The time at which the latest load report was received, or empty if there was none.
 * @param inFlightAtReport The number of requests of this node in progress when that report was received.
 * @param limit The learned limit on requests of this node.
 * @param health Whether the endpoint is ejected.
 * @param model The fitted iteration time.
 */
public record EndpointLoad(
        int inFlight,
        Optional<MonotonicTime> reportedAt,
        int inFlightAtReport,
        ConcurrencyLimit limit,
        EndpointHealth health,
        IterationTimeModel model) {

    /**
     * Creates the load of an endpoint that was not used yet.
     *
     * @param limit The limit to begin with.
     * @return The load.
     */
    public static EndpointLoad unused(ConcurrencyLimit limit) {
        return new EndpointLoad(0, Optional.empty(), 0, limit, EndpointHealth.GOOD, IterationTimeModel.EMPTY);
    }

    /**
     * Returns this load after a request was sent.
     *
     * @return The changed load.
     */
    public EndpointLoad afterSend() {
        return withInFlight(inFlight + 1);
    }

    /**
     * Returns this load after a request ended.
     *
     * @return The changed load.
     */
    public EndpointLoad afterEnd() {
        return withInFlight(Math.max(0, inFlight - 1));
    }

    /**
     * Returns this load with another number of requests in progress.
     *
     * @param changed The number of requests of this node in progress.
     * @return The changed load.
     */
    private EndpointLoad withInFlight(int changed) {
        return new EndpointLoad(changed, reportedAt, inFlightAtReport, limit, health, model);
    }

    /**
     * Returns this load after a look at the latest report. The requests that this node sends from then on are counted
     * on top of the report.
     *
     * @param report The latest report, or empty if there is none.
     * @return The changed load, or this one if the report was seen before.
     */
    public EndpointLoad withReport(Optional<LoadReport> report) {
        Optional<MonotonicTime> received = report.map(LoadReport::receivedAt);
        if (received.isEmpty() || received.equals(reportedAt)) {
            return this;
        }
        return new EndpointLoad(inFlight, received, inFlight, limit, health, model);
    }

    /**
     * Returns this load with another limit.
     *
     * @param changed The limit.
     * @return The changed load.
     */
    public EndpointLoad withLimit(ConcurrencyLimit changed) {
        return new EndpointLoad(inFlight, reportedAt, inFlightAtReport, changed, health, model);
    }

    /**
     * Returns this load with another health.
     *
     * @param changed The health.
     * @return The changed load.
     */
    public EndpointLoad withHealth(EndpointHealth changed) {
        return new EndpointLoad(inFlight, reportedAt, inFlightAtReport, limit, changed, model);
    }

    /**
     * Returns this load with another model.
     *
     * @param changed The model.
     * @return The changed load.
     */
    public EndpointLoad withModel(IterationTimeModel changed) {
        return new EndpointLoad(inFlight, reportedAt, inFlightAtReport, limit, health, changed);
    }

    /**
     * Estimates the number of requests of all nodes at the endpoint: the report and what this node has sent since, less
     * what has ended. The report counts less the older it is, and not at all past its maximum age.
     *
     * @param report The latest report, or empty if there is none.
     * @param now The time.
     * @param maximumAge The age past which a report no longer counts.
     * @return The estimate, never below this node's own requests in progress.
     */
    public double estimate(Optional<LoadReport> report, MonotonicTime now, Duration maximumAge) {
        if (report.isEmpty()) {
            return inFlight;
        }
        double age = (double) now.since(report.get().receivedAt()).toNanos() / maximumAge.toNanos();
        double trust = Math.max(0, 1 - age);
        double reported = report.get().active() + report.get().waiting() + (inFlight - inFlightAtReport);
        return Math.max(inFlight, trust * reported + (1 - trust) * inFlight);
    }

    /**
     * Returns whether another request may be sent.
     *
     * @return {@code true} if the limit leaves room.
     */
    public boolean hasRoom() {
        return inFlight < limit.limit();
    }
}
