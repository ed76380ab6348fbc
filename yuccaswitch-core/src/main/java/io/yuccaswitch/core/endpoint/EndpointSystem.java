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
 * Keeps the table of endpoints: rows follow the configuration in force, load and versions follow the endpoints'
 * reports, and the condition follows from failures and from news about leaving, whichever source tells first. It runs
 * before the systems that route requests.
 */
public final class EndpointSystem implements DecisionSystem {

    /** The kind of this system's decisions. */
    static final String DECISION_KIND = "endpoint";

    /** The interval at which old load reports are looked for. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(250);

    /** The table. */
    private final EndpointTable table;

    /** Tells other nodes what is news to this one. */
    private final LeavingNews news;

    /** The configuration in force, or empty before the first one. */
    private Optional<FleetConfiguration> configuration = Optional.empty();

    /** The time at which old load reports are looked for next. */
    private MonotonicTime nextSweep = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new system.
     *
     * @param table The table that this system writes.
     * @param news Tells other nodes what is news to this one.
     */
    public EndpointSystem(EndpointTable table, LeavingNews news) {
        this.table = table;
        this.news = news;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (ConfigurationEvent.InForce event : tick.events(ConfigurationEvent.InForce.class)) {
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
        dropOldReports(tick);
    }

    /**
     * Brings the rows in line with a configuration.
     *
     * @param changed The configuration that came into force.
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
     * Brings a row in line with its settings. An endpoint at another address is taken as a new one.
     *
     * @param name The endpoint's name.
     * @param pool The settings of the pool.
     * @param settings The settings of the endpoint.
     */
    private void configure(EndpointName name, PoolSettings pool, EndpointSettings settings) {
        Optional<Endpoint> known = table.find(name).filter(row -> row.address().equals(settings.address()));
        if (known.isPresent()) {
            table.put(known.get().withSettings(pool.kind(), settings.availabilityZone()));
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
     * @param from The configuration.
     * @param name The endpoint's name.
     * @return The settings, or empty if the configuration does not name the endpoint.
     */
    private static Optional<EndpointSettings> settings(FleetConfiguration from, EndpointName name) {
        return Optional.ofNullable(from.pools().get(name.pool()))
                .map(pool -> pool.endpoints().get(name.value()));
    }

    /**
     * Applies what was learned about an endpoint.
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
            settle(tick, event.endpoint(), "unreachable: " + unreachable.reason());
        } else if (event instanceof EndpointEvent.Leaving leaving) {
            learnLeaving(tick, endpoint.get(), leaving.incarnation(), leaving.source());
        } else if (event instanceof EndpointEvent.Listed listed) {
            learnListed(tick, endpoint.get(), listed.leaving(), "the platform's list");
        } else if (event instanceof EndpointEvent.PrefixCached cached) {
            table.prefixes().apply(cached);
        }
    }

    /**
     * Applies an endpoint's own report.
     *
     * @param tick The tick.
     * @param endpoint The endpoint as it was known.
     * @param report The report.
     */
    private void applyReport(Tick tick, Endpoint endpoint, EndpointEvent.Reported report) {
        EndpointName name = endpoint.name();
        boolean anew = !endpoint.incarnation().equals(Optional.of(report.incarnation()));
        if (anew) {
            table.prefixes().forget(name);
        }
        table.put(endpoint.withReport(report.incarnation(), report.load(), report.loadedVersions()));
        table.putProbe(name, table.probe(name).withReport());
        table.putLeaving(name, table.leaving(name).withIncarnation(report.incarnation()));
        if (report.leaving()) {
            learnLeaving(tick, table.find(name).orElseThrow(), report.incarnation(), "own report");
        }
        settle(tick, name, anew ? "incarnation " + report.incarnation() + " reported" : "reported");
    }

    /**
     * Applies what an attempt showed about its endpoint: a connection that can't be made counts like a failed probe.
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
            settle(tick, event.endpoint(), "no connection for a request");
        }
    }

    /**
     * Applies another node's word.
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
            learnLeaving(tick, endpoint.get(), leaving.incarnation(), "peer");
        } else if (message instanceof EndpointMessage.Listed listed) {
            learnListed(tick, endpoint.get(), listed.leaving(), "peer's word of the platform's list");
        }
    }

    /**
     * Learns from the endpoint's own word, from whatever messenger, that it is leaving.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param incarnation The incarnation that is leaving, or an empty text if the messenger does not know.
     * @param source The messenger, for logs.
     */
    private void learnLeaving(Tick tick, Endpoint endpoint, String incarnation, String source) {
        LeavingKnowledge before = table.leaving(endpoint.name());
        LeavingKnowledge after = before.withLeaving(incarnation, endpoint.incarnation());
        if (after.equals(before)) {
            return;
        }
        table.putLeaving(endpoint.name(), after);
        settle(tick, endpoint.name(), "leaving, told by " + source);
        if (!incarnation.isEmpty()) {
            news.spread(tick, new EndpointMessage.Leaving(endpoint.name(), incarnation));
        }
    }

    /**
     * Learns what the platform's list says about an endpoint's VM.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param leaving Whether the VM is listed as leaving.
     * @param source The messenger, for logs.
     */
    private void learnListed(Tick tick, Endpoint endpoint, boolean leaving, String source) {
        EndpointName name = endpoint.name();
        LeavingKnowledge before = table.leaving(name);
        LeavingKnowledge after =
                leaving ? before.withListed(tick.now(), endpoint.incarnation()) : before.withNotListed(tick.now());
        table.putLeaving(name, after);
        settle(tick, name, leaving ? "listed as leaving, told by " + source : "no longer listed as leaving");
        if (before.listing().isEmpty() && after.listing().isPresent()) {
            news.spread(tick, new EndpointMessage.Listed(name, true));
        }
    }

    /**
     * Computes an endpoint's condition anew and explains a change.
     *
     * @param tick The tick.
     * @param name The endpoint's name.
     * @param reason The reason for a change.
     */
    private void settle(Tick tick, EndpointName name, String reason) {
        table.settleCondition(name)
                .ifPresent(endpoint -> tick.decide(Decision.of(
                        DECISION_KIND, name.toString(), endpoint.condition().name(), reason)));
    }

    /**
     * Drops load reports that are too old to be believed.
     *
     * @param tick The tick.
     */
    private void dropOldReports(Tick tick) {
        if (configuration.isEmpty() || tick.now().isBefore(nextSweep)) {
            return;
        }
        nextSweep = tick.now().plus(SWEEP_INTERVAL);
        for (Endpoint endpoint : List.copyOf(table.view())) {
            PoolSettings pool = configuration.get().pools().get(endpoint.name().pool());
            if (endpoint.load().isPresent() && pool != null && tooOld(tick, endpoint, pool.routing())) {
                table.put(endpoint.withoutLoad());
            }
        }
    }

    /**
     * Returns whether an endpoint's load report is too old.
     *
     * @param tick The tick.
     * @param endpoint The endpoint.
     * @param settings The settings of its pool.
     * @return {@code true} if the report no longer counts.
     */
    private static boolean tooOld(Tick tick, Endpoint endpoint, RoutingSettings settings) {
        return endpoint.load()
                .map(load -> tick.now().since(load.receivedAt()).compareTo(settings.loadReportMaximumAge()) > 0)
                .orElse(false);
    }
}
