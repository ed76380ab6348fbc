package io.yuccaswitch.platform;

import java.time.Duration;
import java.util.Optional;

/**
 * The settings of a client.
 *
 * @param address The platform's address, such as {@code http://10.0.0.5:8080}.
 * @param token The bearer token that each call carries, if any.
 * @param connectTimeout The longest time that connecting takes.
 * @param callTimeout The longest time that a call takes, a watch's wait not counted.
 * @param watchWait The time for which the platform lets a watch wait for changes.
 * @param rates The rates at which the client calls.
 * @param retry How often reads are repeated.
 * @param circuit When the client stops calling.
 */
public record PlatformClientSettings(
        String address,
        Optional<String> token,
        Duration connectTimeout,
        Duration callTimeout,
        Duration watchWait,
        CallRates rates,
        RetrySettings retry,
        CircuitSettings circuit) {

    /** The default longest time that connecting takes. */
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** The default longest time that a call takes. */
    private static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(2);

    /** What separates the scheme of a URL from its rest. */
    private static final String SCHEME_SEPARATOR = "://";

    /** The scheme of an address that names none. */
    private static final String DEFAULT_SCHEME = "http";

    /** The default wait of a watch, which also bounds how long a connection that died silently goes unnoticed. */
    private static final Duration DEFAULT_WATCH_WAIT = Duration.ofSeconds(5);

    /**
     * Creates settings with defaults.
     *
     * @param address The platform's address, as a URL or as {@code host:port}.
     * @return The settings.
     */
    public static PlatformClientSettings of(String address) {
        return new PlatformClientSettings(
                address.contains(SCHEME_SEPARATOR) ? address : DEFAULT_SCHEME + SCHEME_SEPARATOR + address,
                Optional.empty(),
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_CALL_TIMEOUT,
                DEFAULT_WATCH_WAIT,
                CallRates.DEFAULT,
                RetrySettings.DEFAULT,
                CircuitSettings.DEFAULT);
    }

    /**
     * Returns these settings with another token.
     *
     * @param newToken The bearer token, if any.
     * @return The changed settings.
     */
    public PlatformClientSettings withToken(Optional<String> newToken) {
        return new PlatformClientSettings(
                address, newToken, connectTimeout, callTimeout, watchWait, rates, retry, circuit);
    }

    /**
     * Returns these settings with other times.
     *
     * @param newCallTimeout The longest time that a call takes.
     * @param newWatchWait The time for which a watch waits.
     * @return The changed settings.
     */
    public PlatformClientSettings withTimes(Duration newCallTimeout, Duration newWatchWait) {
        return new PlatformClientSettings(
                address, token, connectTimeout, newCallTimeout, newWatchWait, rates, retry, circuit);
    }

    /**
     * Returns these settings with other rates.
     *
     * @param newRates The rates at which the client calls.
     * @return The changed settings.
     */
    public PlatformClientSettings withRates(CallRates newRates) {
        return new PlatformClientSettings(
                address, token, connectTimeout, callTimeout, watchWait, newRates, retry, circuit);
    }

    /**
     * Returns these settings with other repetitions of reads.
     *
     * @param newRetry How often reads are repeated.
     * @return The changed settings.
     */
    public PlatformClientSettings withRetry(RetrySettings newRetry) {
        return new PlatformClientSettings(
                address, token, connectTimeout, callTimeout, watchWait, rates, newRetry, circuit);
    }

    /**
     * Returns these settings with another circuit.
     *
     * @param newCircuit When the client stops calling.
     * @return The changed settings.
     */
    public PlatformClientSettings withCircuit(CircuitSettings newCircuit) {
        return new PlatformClientSettings(
                address, token, connectTimeout, callTimeout, watchWait, rates, retry, newCircuit);
    }
}
