package io.yuccaswitch.core.configuration;

import java.time.Duration;
import java.util.Optional;

/**
 * When requests to a pool are tried again.
 *
 * @param budgetRatio The share of requests that may be tried again.
 * @param maximumAttempts The largest number of attempts of one request.
 * @param initialBackoff The pause before the first further attempt.
 * @param maximumBackoff The longest pause before a further attempt.
 * @param hedgeAfter The time after which an idempotent request is sent to a second endpoint as well.
 * @param ejectionThreshold The number of failures in a row after which an endpoint is ejected.
 * @param ejectionTime The time that an endpoint stays ejected the first time.
 * @param ejectionFloor The share of the endpoints that stays in use however many fail.
 */
public record RetrySettings(
        @Setting(
                        description = "The share of requests that may be tried again.",
                        defaultValue = "0.1",
                        minimum = "0",
                        maximum = "1")
                double budgetRatio,
        @Setting(
                        description = "The largest number of attempts of one request.",
                        defaultValue = "3",
                        minimum = "1",
                        maximum = "10")
                int maximumAttempts,
        @Setting(
                        description = "The pause before the first further attempt.",
                        defaultValue = "25ms",
                        minimum = "1ms",
                        maximum = "10s")
                Duration initialBackoff,
        @Setting(
                        description = "The longest pause before a further attempt.",
                        defaultValue = "1s",
                        minimum = "1ms",
                        maximum = "1m")
                Duration maximumBackoff,
        @Setting(description = "The time after which an idempotent request is sent to a second endpoint as well.")
                Optional<Duration> hedgeAfter,
        @Setting(
                        description = "The number of failures in a row after which an endpoint is ejected.",
                        defaultValue = "5",
                        minimum = "1",
                        maximum = "1000")
                int ejectionThreshold,
        @Setting(
                        description = "The time that an endpoint stays ejected the first time.",
                        defaultValue = "5s",
                        minimum = "100ms",
                        maximum = "10m")
                Duration ejectionTime,
        @Setting(
                        description = "The share of the endpoints that stays in use however many fail.",
                        defaultValue = "0.5",
                        minimum = "0",
                        maximum = "1")
                double ejectionFloor) {}
