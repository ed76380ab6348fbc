package io.yuccaswitch.platform;

import java.time.Duration;
import java.util.Optional;

/**
 * The settings of a client.
 *
 * @param address The platform's address, such as {@code http://10.0.0.5:8080}.
 * @param token The bearer token of all calls, if any.
 * @param connectTimeout The timeout for connecting.
 * @param callTimeout The timeout of a call, in addition to the wait time of a watch.
 * @param watchWait The maximum time for which a watch waits for changes at the platform.
 * @param rates The rate limits of the client.
 * @param retry The retry settings for reads.
 * @param circuit The settings of the circuit breaker.
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

    /** The default timeout for connecting. */
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** The default timeout of a call. */
    private static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(2);

    /** The separator after the scheme of a URL. */
    private static final String SCHEME_SEPARATOR = "://";

    /** The scheme of an address without one. */
    private static final String DEFAULT_SCHEME = "http";

    /** The default wait time of a watch, which also bounds the time to detect a connection that failed silently. */
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
     * Returns these settings with other timeouts.
     *
     * @param newCallTimeout The timeout of a call.
     * @param newWatchWait The maximum time for which a watch waits.
     * @return The changed settings.
     */
    public PlatformClientSettings withTimeouts(Duration newCallTimeout, Duration newWatchWait) {
        return new PlatformClientSettings(
                address, token, connectTimeout, newCallTimeout, newWatchWait, rates, retry, circuit);
    }

    /**
     * Returns these settings with other rate limits.
     *
     * @param newRates The rate limits of the client.
     * @return The changed settings.
     */
    public PlatformClientSettings withRates(CallRates newRates) {
        return new PlatformClientSettings(
                address, token, connectTimeout, callTimeout, watchWait, newRates, retry, circuit);
    }

    /**
     * Returns these settings with other retry settings.
     *
     * @param newRetry The retry settings for reads.
     * @return The changed settings.
     */
    public PlatformClientSettings withRetry(RetrySettings newRetry) {
        return new PlatformClientSettings(
                address, token, connectTimeout, callTimeout, watchWait, rates, newRetry, circuit);
    }

    /**
     * Returns these settings with other settings of the circuit breaker.
     *
     * @param newCircuit The settings of the circuit breaker.
     * @return The changed settings.
     */
    public PlatformClientSettings withCircuit(CircuitSettings newCircuit) {
        return new PlatformClientSettings(
                address, token, connectTimeout, callTimeout, watchWait, rates, retry, newCircuit);
    }
}
