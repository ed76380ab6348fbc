package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.EndpointSettings;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.RoutingSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Maintains the table of endpoints. The active configuration determines the rows, the endpoints' reports determine load
 * and loaded versions, and failures and announcements of leaving determine the condition, whichever source reports
 * first. This system runs before the systems that route requests.
 */
public final class EndpointSystem implements DecisionSystem {

    /** The kind of this system's decisions. */
    static final String DECISION_KIND = "endpoint";

    /** The interval of the checks for stale load reports. */
    private static final Duration STALE_REPORT_CHECK_INTERVAL = Duration.ofMillis(250);

    /** The table. */
    private final EndpointTable table;

    /** Announces newly recorded leaving endpoints to other nodes. */
    private final LeavingAnnouncer announcer;

    /** The active configuration, or empty before the first one. */
    private Optional<FleetConfiguration> configuration = Optional.empty();

    /** The time of the next check for stale load reports. */
    private MonotonicTime nextStaleReportCheck = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new system.
     *
     * @param table The table that this system maintains.
     * @param announcer Announces newly recorded leaving endpoints to other nodes.
     */
    public EndpointSystem(EndpointTable table, LeavingAnnouncer announcer) {
        this.table = table;
        this.announcer = announcer;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (ConfigurationEvent.Activated event : tick.events(ConfigurationEvent.Activated.class)) {
            configure(event.configuration());
        }
        for (EndpointEvent event : tick.events(EndpointEvent.class)) {
            apply(tick, event);
        }
        for (RequestEvent.AttemptEnded event : tick.events(RequestEvent.AttemptEnded.class)) {
            applyAttempt(tick, event);
        }
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof EndpointMessage message) {
                applyMessage(tick, message);
            }
        }
        dropStaleReports(tick);
    }

    /**
     * Updates all rows to a configuration.
     *
     * @param changed The configuration that became active.
     */
    private void configure(FleetConfiguration changed) {
        configuration = Optional.of(changed);
        for (Endpoint endpoint : List.copyOf(table.view())) {
            if (settings(changed, endpoint.name()).isEmpty()) {
                table.remove(endpoint.name());
            }
        }
        for (Map.Entry<PoolName, PoolSettings> pool : changed.pools().entrySet()) {
            pool.getValue().endpoints().forEach((value, settings) -> {
                EndpointName name = new EndpointName(pool.getKey(), value);
                configure(name, pool.getValue(), settings);
            });
        }
    }

    /**
     * Updates a row to its settings. An endpoint whose address has changed is treated as a new one.
     *
     * @param name The endpoint's name.
     * @param pool The settings of the pool.
     * @param settings The settings of the endpoint.
     */
    private void configure(EndpointName name, PoolSettings pool, EndpointSettings settings) {
        Optional<Endpoint> existing =
                table.find(name).filter(row -> row.address().equals(settings.address()));
        if (existing.isPresent()) {
            table.put(existing.get().withSettings(pool.kind(), settings.availabilityZone()));
            return;
        }
        table.add(new Endpoint(
                name,
                pool.kind(),
                settings.address(),
                settings.availabilityZone(),
                EndpointCondition.LIVE,
                Optional.empty(),
                Optional.empty(),
                Map.of()));
    }

    /**
     * Finds the settings of an endpoint.
     *
     * @param fleet The configuration.
     * @param name The endpoint's name.
     * @return The settings, or empty if the configuration does not name the endpoint.
     */
    private static Optional<EndpointSettings> settings(FleetConfiguration fleet, EndpointName name) {
        return Optional.ofNullable(fleet.pools().get(name.pool()))
                .map(pool -> pool.endpoints().get(name.value()));
    }

    /**
     * Applies an observation of an endpoint.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void apply(Tick tick, EndpointEvent event) {
        Optional<Endpoint> endpoint = table.find(event.endpoint());
        if (endpoint.isEmpty()) {
            return;
        }
        if (event instanceof EndpointEvent.Reported reported) {
            applyReport(tick, endpoint.get(), reported);
        } else if (event instanceof EndpointEvent.Unreachable unreachable) {
            table.putProbe(event.endpoint(), table.probe(event.endpoint()).withProbeFailure());
            refreshCondition(tick, event.endpoint(), "unreachable: " + unreachable.reason());
        } else if (event instanceof EndpointEvent.Leaving leaving) {
            recordLeaving(tick, endpoint.get(), leaving.incarnation(), leaving.source());
        } else if (event instanceof EndpointEvent.Listed listed) {
            recordListed(tick, endpoint.get(), listed.leaving(), "the platform's list");
        } else if (event instanceof EndpointEvent.PrefixCached cached) {
            table.prefixes().apply(cached);
        }
    }

    /**
     * Applies an endpoint's own report.
     *
     * @param tick The tick.
     * @param endpoint The endpoint before the report.
     * @param report The report.
     */
    private void applyReport(Tick tick, Endpoint endpoint, EndpointEvent.Reported report) {
        EndpointName name = endpoint.name();
        boolean newIncarnation = !endpoint.incarnation().equals(Optional.of(report.incarnation()));
        if (newIncarnation) {
            table.prefixes().forget(name);
        }
        table.put(endpoint.withReport(report.incarnation(), report.load(), report.loadedVersions()));
        table.putProbe(name, table.probe(name).withReport());
        table.putLeaving(name, table.leaving(name).withIncarnation(report.incarnation()));
        if (report.leaving()) {
            recordLeaving(tick, table.find(name).orElseThrow(), report.incarnation(), "own report");
        }
        refreshCondition(tick, name, newIncarnation ? "incarnation " + report.incarnation() + " reported" : "reported");
    }

    /**
     * Applies the result of an attempt to its endpoint: a failure to connect is treated like a failed probe.
     *
     * @param tick The tick.
     * @param event The end of the attempt.
     */
    private void applyAttempt(Tick tick, RequestEvent.AttemptEnded event) {
        if (table.find(event.endpoint()).isEmpty() || !(event.result() instanceof AttemptResult.NotRun result)) {
            return;
        }
        if (result.code().equals(FailureCodes.CONNECT_FAILED)) {
            table.putProbe(event.endpoint(), table.probe(event.endpoint()).withAttemptFailure());
            refreshCondition(tick, event.endpoint(), "could not connect for a request");
        }
    }

    /**
     * Applies a message of another node.
     *
     * @param tick The tick.
     * @param message The message.
     */
    private void applyMessage(Tick tick, EndpointMessage message) {
        Optional<Endpoint> endpoint = table.find(message.endpoint());
        if (endpoint.isEmpty()) {
            return;
        }
        if (message instanceof EndpointMessage.Leaving leaving) {
            recordLeaving(tick, endpoint.get(), leaving.incarnation(), "peer");
        } else if (message instanceof EndpointMessage.Listed listed) {
            recordListed(tick, endpoint.get(), listed.leaving(), "peer's report of the platform's list");
        }
    }

    /**
     * Records that an endpoint is leaving, as it reported itself directly or through another source.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param incarnation The incarnation that is leaving, or an empty string if the source does not specify it.
     * @param source The source of the information, for logs.
     */
    private void recordLeaving(Tick tick, Endpoint endpoint, String incarnation, String source) {
        LeavingState before = table.leaving(endpoint.name());
        LeavingState after = before.withLeaving(incarnation, endpoint.incarnation());
        if (after.equals(before)) {
            return;
        }
        table.putLeaving(endpoint.name(), after);
        refreshCondition(tick, endpoint.name(), "leaving, source: " + source);
        if (!incarnation.isEmpty()) {
            announcer.announce(tick, new EndpointMessage.Leaving(endpoint.name(), incarnation));
        }
    }

    /**
     * Records whether the platform lists the VM of an endpoint as leaving.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param leaving Whether the VM is listed as leaving.
     * @param source The source of the information, for logs.
     */
    private void recordListed(Tick tick, Endpoint endpoint, boolean leaving, String source) {
        EndpointName name = endpoint.name();
        LeavingState before = table.leaving(name);
        LeavingState after =
                leaving ? before.withListed(tick.now(), endpoint.incarnation()) : before.withNotListed(tick.now());
        table.putLeaving(name, after);
        refreshCondition(tick, name, leaving ? "listed as leaving, source: " + source : "no longer listed as leaving");
        if (before.listing().isEmpty() && after.listing().isPresent()) {
            announcer.announce(tick, new EndpointMessage.Listed(name, true));
        }
    }

    /**
     * Recomputes an endpoint's condition and records a decision if it has changed.
     *
     * @param tick The tick.
     * @param name The endpoint's name.
     * @param reason The reason for a change.
     */
    private void refreshCondition(Tick tick, EndpointName name, String reason) {
        table.updateCondition(name)
                .ifPresent(endpoint -> tick.decide(Decision.of(
                        DECISION_KIND, name.toString(), endpoint.condition().name(), reason)));
    }

    /**
     * Drops stale load reports.
     *
     * @param tick The tick.
     */
    private void dropStaleReports(Tick tick) {
        if (configuration.isEmpty() || tick.now().isBefore(nextStaleReportCheck)) {
            return;
        }
        nextStaleReportCheck = tick.now().plus(STALE_REPORT_CHECK_INTERVAL);
        for (Endpoint endpoint : List.copyOf(table.view())) {
            PoolSettings pool = configuration.get().pools().get(endpoint.name().pool());
            if (endpoint.load().isPresent() && pool != null && isStale(tick, endpoint, pool.routing())) {
                table.put(endpoint.withoutLoad());
            }
        }
    }

    /**
     * Returns whether an endpoint's load report is stale.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param settings The settings of its pool.
     * @return {@code true} if the report is stale.
     */
    private static boolean isStale(Tick tick, Endpoint endpoint, RoutingSettings settings) {
        return endpoint.load()
                .map(load -> tick.now().since(load.receivedAt()).compareTo(settings.loadReportMaximumAge()) > 0)
                .orElse(false);
    }
}
