package io.yuccaswitch.core.configuration;

import java.time.Duration;
import java.util.Optional;

/**
 * The retries of requests to a pool, and the ejection of failing endpoints.
 *
 * @param budgetRatio The share of requests that may be retried.
 * @param maximumAttempts The maximum number of attempts of one request.
 * @param initialBackoff The backoff before the first retry.
 * @param maximumBackoff The maximum backoff before a retry.
 * @param hedgeAfter The time after which an idempotent request is also sent to a second endpoint.
 * @param ejectionThreshold The number of consecutive failures after which an endpoint is ejected.
 * @param ejectionTime The duration of the first ejection of an endpoint.
 * @param ejectionFloor The minimum share of the endpoints that remain in use regardless of failures.
 */
public record RetrySettings(
        @Setting(
                        description = "The share of requests that may be retried.",
                        defaultValue = "0.1",
                        minimum = "0",
                        maximum = "1")
                double budgetRatio,
        @Setting(
                        description = "The maximum number of attempts of one request.",
                        defaultValue = "3",
                        minimum = "1",
                        maximum = "10")
                int maximumAttempts,
        @Setting(
                        description = "The backoff before the first retry.",
                        defaultValue = "25ms",
                        minimum = "1ms",
                        maximum = "10s")
                Duration initialBackoff,
        @Setting(
                        description = "The maximum backoff before a retry.",
                        defaultValue = "1s",
                        minimum = "1ms",
                        maximum = "1m")
                Duration maximumBackoff,
        @Setting(description = "The time after which an idempotent request is also sent to a second endpoint.")
                Optional<Duration> hedgeAfter,
        @Setting(
                        description = "The number of consecutive failures after which an endpoint is ejected.",
                        defaultValue = "5",
                        minimum = "1",
                        maximum = "1000")
                int ejectionThreshold,
        @Setting(
                        description = "The duration of the first ejection of an endpoint.",
                        defaultValue = "5s",
                        minimum = "100ms",
                        maximum = "10m")
                Duration ejectionTime,
        @Setting(
                        description = "The minimum share of the endpoints that remain in use regardless of failures.",
                        defaultValue = "0.5",
                        minimum = "0",
                        maximum = "1")
                double ejectionFloor) {}
