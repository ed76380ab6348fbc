package io.yuccaswitch.settings;

import com.google.common.net.HostAndPort;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.LimitSettings;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.RetrySettings;
import io.yuccaswitch.core.configuration.RoutingSettings;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The checks of the fleet configuration that involve several values. */
final class FleetConfigurationChecks {

    /** The suggested correction of a malformed address. */
    private static final String ADDRESS_REMEDY = "Write host:port, such as \"10.0.0.7:9000\".";

    /** This class has no instances. */
    private FleetConfigurationChecks() {}

    /**
     * Returns all checks.
     *
     * @return The checks.
     */
    static List<SettingsCheck<FleetConfiguration>> all() {
        return List.of(
                new Membership(), new Lease(), new Endpoints(), new PoolPolicies(), new Trainers(), new Tokens());
    }

    /**
     * Adds an error if an address is not of the form host:port.
     *
     * @param address The address.
     * @param path The path of the address.
     * @param findings Receives the error.
     * @return The normalised address, or empty if it is malformed.
     */
    private static Optional<String> checkAddress(String address, KeyPath path, SettingsFindings findings) {
        try {
            HostAndPort parsed = HostAndPort.fromString(address);
            if (parsed.hasPort() && parsed.getPort() > 0 && !parsed.getHost().isBlank()) {
                return Optional.of(parsed.toString());
            }
        } catch (IllegalArgumentException e) {
            // Reported below, together with addresses without a port.
        }
        findings.add(
                SettingsErrorCode.WRONG_TYPE,
                "The text \"" + address + "\" is not an address with a port.",
                ADDRESS_REMEDY,
                path);
        return Optional.empty();
    }

    /**
     * Checks that the suspicion time exceeds the exchange interval. Otherwise, no node could refute a suspicion in
     * time.
     */
    record Membership() implements SettingsCheck<FleetConfiguration> {

        /** {@inheritDoc} */
        @Override
        public void check(FleetConfiguration fleet, SettingsFindings findings) {
            Duration interval = fleet.membership().exchangeInterval();
            Duration suspicion = fleet.membership().suspicionTime();
            if (suspicion.compareTo(interval) <= 0) {
                findings.add(
                        SettingsErrorCode.CONTRADICTION,
                        "A suspected node could not refute the suspicion before it is considered dead.",
                        "Make suspicionTime longer than exchangeInterval; at least four times as long is advised.",
                        KeyPath.of("membership", "suspicionTime"),
                        KeyPath.of("membership", "exchangeInterval"));
            }
        }
    }

    /** Checks that the duration of a lease exceeds its safety margin. Otherwise, the lease could never be used. */
    record Lease() implements SettingsCheck<FleetConfiguration> {

        /** {@inheritDoc} */
        @Override
        public void check(FleetConfiguration fleet, SettingsFindings findings) {
            if (fleet.lease().safetyMargin().compareTo(fleet.lease().duration()) >= 0) {
                findings.add(
                        SettingsErrorCode.CONTRADICTION,
                        "The holder of a lease would have to stop using it before it starts.",
                        "Make safetyMargin shorter than duration.",
                        KeyPath.of("lease", "safetyMargin"),
                        KeyPath.of("lease", "duration"));
            }
        }
    }

    /** Checks that each pool has endpoints and that each address is well-formed and unique. */
    record Endpoints() implements SettingsCheck<FleetConfiguration> {

        /** {@inheritDoc} */
        @Override
        public void check(FleetConfiguration fleet, SettingsFindings findings) {
            Map<String, KeyPath> pathsByValue = new TreeMap<>();
            fleet.weightStore().ifPresent(store -> {
                KeyPath path = KeyPath.of("weightStore", "address");
                checkAddress(store.address(), path, findings).ifPresent(address -> pathsByValue.put(address, path));
            });
            new TreeMap<>(fleet.pools()).forEach((name, pool) -> checkPool(name, pool, pathsByValue, findings));
        }

        /**
         * Checks the endpoints of one pool.
         *
         * @param name The name of the pool.
         * @param pool The pool.
         * @param pathsByValue The paths of the addresses found so far.
         * @param findings Receives the errors.
         */
        private static void checkPool(
                PoolName name, PoolSettings pool, Map<String, KeyPath> pathsByValue, SettingsFindings findings) {
            KeyPath path = KeyPath.of("pools", name.value(), "endpoints");
            if (pool.endpoints().isEmpty()) {
                findings.add(
                        SettingsErrorCode.MISSING,
                        "The pool has no endpoints.",
                        "Add an endpoint, or remove the pool with a null.",
                        path);
            }
            new TreeMap<>(pool.endpoints()).forEach((endpoint, settings) -> {
                checkName(name, endpoint, path.child(endpoint), findings);
                KeyPath addressPath = path.child(endpoint).child("address");
                checkAddress(settings.address(), addressPath, findings)
                        .ifPresent(address -> checkUnique(address, addressPath, pathsByValue, findings));
            });
        }

        /**
         * Checks that the key of an endpoint is a valid name.
         *
         * @param pool The name of the pool.
         * @param endpoint The key.
         * @param path The path of the endpoint.
         * @param findings Receives the errors.
         */
        private static void checkName(PoolName pool, String endpoint, KeyPath path, SettingsFindings findings) {
            try {
                new EndpointName(pool, endpoint);
            } catch (IllegalArgumentException e) {
                findings.add(
                        SettingsErrorCode.WRONG_TYPE,
                        "The key \"" + endpoint + "\" is not a valid name.",
                        "Write a name of letters, digits, dots, hyphens and underscores.",
                        path);
            }
        }

        /**
         * Checks that an address is unique.
         *
         * @param address The address.
         * @param path The path of the address.
         * @param pathsByValue The paths of the addresses found so far.
         * @param findings Receives the errors.
         */
        private static void checkUnique(
                String address, KeyPath path, Map<String, KeyPath> pathsByValue, SettingsFindings findings) {
            KeyPath earlier = pathsByValue.putIfAbsent(address, path);
            if (earlier != null) {
                findings.add(
                        SettingsErrorCode.DUPLICATE_VALUE,
                        "The address \"" + address + "\" is already used at " + earlier + ".",
                        "Give each endpoint an address of its own.",
                        path,
                        earlier);
            }
        }
    }

    /** Checks that the policies of each pool are consistent. */
    record PoolPolicies() implements SettingsCheck<FleetConfiguration> {

        /** {@inheritDoc} */
        @Override
        public void check(FleetConfiguration fleet, SettingsFindings findings) {
            fleet.pools().forEach((name, pool) -> {
                KeyPath path = KeyPath.of("pools", name.value());
                checkLimits(pool.limits(), path.child("limits"), findings);
                checkRouting(pool.routing(), path.child("routing"), findings);
                checkRetry(pool.retry(), path.child("retry"), findings);
                checkHedge(pool, path, findings);
            });
        }

        /**
         * Checks the limits of a pool.
         *
         * @param limits The limits.
         * @param path The path of the limits.
         * @param findings Receives the errors.
         */
        private static void checkLimits(LimitSettings limits, KeyPath path, SettingsFindings findings) {
            if (limits.initialConcurrency() > limits.maximumConcurrency()) {
                findings.add(
                        SettingsErrorCode.CONTRADICTION,
                        "The initial concurrency " + limits.initialConcurrency() + " is above the maximum of "
                                + limits.maximumConcurrency() + ".",
                        "Lower initialConcurrency or raise maximumConcurrency.",
                        path.child("initialConcurrency"),
                        path.child("maximumConcurrency"));
            }
        }

        /**
         * Checks the routing of a pool.
         *
         * @param routing The routing.
         * @param path The path of the routing.
         * @param findings Receives the errors.
         */
        private static void checkRouting(RoutingSettings routing, KeyPath path, SettingsFindings findings) {
            if (routing.loadReportInterval().compareTo(routing.loadReportMaximumAge()) >= 0) {
                findings.add(
                        SettingsErrorCode.CONTRADICTION,
                        "Each load report would be stale before the next one arrives.",
                        "Make loadReportInterval shorter than loadReportMaximumAge.",
                        path.child("loadReportInterval"),
                        path.child("loadReportMaximumAge"));
            }
        }

        /**
         * Checks the retry policy of a pool.
         *
         * @param retry The retry policy.
         * @param path The path of the retry policy.
         * @param findings Receives the errors.
         */
        private static void checkRetry(RetrySettings retry, KeyPath path, SettingsFindings findings) {
            if (retry.initialBackoff().compareTo(retry.maximumBackoff()) > 0) {
                findings.add(
                        SettingsErrorCode.CONTRADICTION,
                        "The initial backoff is longer than the maximum backoff.",
                        "Make initialBackoff at most as long as maximumBackoff.",
                        path.child("initialBackoff"),
                        path.child("maximumBackoff"));
            }
        }

        /**
         * Checks that the hedging delay is greater than zero and shorter than the deadline.
         *
         * @param pool The pool.
         * @param path The path of the pool.
         * @param findings Receives the errors.
         */
        private static void checkHedge(PoolSettings pool, KeyPath path, SettingsFindings findings) {
            Duration deadline = pool.limits().defaultDeadline();
            pool.retry()
                    .hedgeAfter()
                    .filter(hedge -> hedge.isZero() || hedge.compareTo(deadline) >= 0)
                    .ifPresent(_hedge -> findings.add(
                            SettingsErrorCode.CONTRADICTION,
                            "Either every request or no request would be hedged.",
                            "Make hedgeAfter longer than zero and shorter than defaultDeadline.",
                            path.child("retry").child("hedgeAfter"),
                            path.child("limits").child("defaultDeadline")));
        }
    }

    /** Checks that trainers use engine pools and that scorers are service pools. */
    record Trainers() implements SettingsCheck<FleetConfiguration> {

        /** {@inheritDoc} */
        @Override
        public void check(FleetConfiguration fleet, SettingsFindings findings) {
            fleet.trainers().forEach((name, trainer) -> {
                KeyPath path = KeyPath.of("trainers", name.value());
                checkKind(fleet, trainer.pool(), PoolKind.ENGINE, path.child("pool"), findings);
                trainer.scorer()
                        .ifPresent(
                                scorer -> checkKind(fleet, scorer, PoolKind.SERVICE, path.child("scorer"), findings));
            });
        }

        /**
         * Checks the kind of a pool that a trainer references.
         *
         * @param fleet The configuration.
         * @param pool The name of the pool.
         * @param kind The required kind of the pool.
         * @param path The path of the name.
         * @param findings Receives the errors.
         */
        private static void checkKind(
                FleetConfiguration fleet, PoolName pool, PoolKind kind, KeyPath path, SettingsFindings findings) {
            PoolSettings settings = fleet.pools().get(pool);
            if (settings == null || settings.kind() == kind) {
                return;
            }
            boolean isEngine = kind == PoolKind.ENGINE;
            findings.add(
                    SettingsErrorCode.CONTRADICTION,
                    "The pool \"" + pool + "\" is not of kind " + (isEngine ? "engine" : "service") + ".",
                    "Name a pool of " + (isEngine ? "model engines" : "services") + ".",
                    path,
                    KeyPath.of("pools", pool.value(), "kind"));
        }
    }

    /** Checks that each caller and trainer has a unique token, since the token identifies it. */
    record Tokens() implements SettingsCheck<FleetConfiguration> {

        /** {@inheritDoc} */
        @Override
        public void check(FleetConfiguration fleet, SettingsFindings findings) {
            Map<String, KeyPath> pathsByValue = new TreeMap<>();
            new TreeMap<>(fleet.callers()).forEach((name, caller) -> {
                KeyPath path = KeyPath.of("callers", name.value(), "token");
                caller.token().ifPresent(token -> checkUnique(token, path, pathsByValue, findings));
            });
            new TreeMap<>(fleet.trainers()).forEach((name, trainer) -> {
                KeyPath path = KeyPath.of("trainers", name.value(), "token");
                trainer.token().ifPresent(token -> checkUnique(token, path, pathsByValue, findings));
            });
        }

        /**
         * Checks that a token is unique.
         *
         * @param token The token.
         * @param path The path of the token.
         * @param pathsByValue The paths of the tokens found so far.
         * @param findings Receives the errors.
         */
        private static void checkUnique(
                String token, KeyPath path, Map<String, KeyPath> pathsByValue, SettingsFindings findings) {
            KeyPath earlier = pathsByValue.putIfAbsent(token, path);
            if (earlier != null) {
                findings.add(
                        SettingsErrorCode.DUPLICATE_VALUE,
                        "The same token is already used at " + earlier + ".",
                        "Give each caller and trainer a token of its own.",
                        path,
                        earlier);
            }
        }
    }
}
