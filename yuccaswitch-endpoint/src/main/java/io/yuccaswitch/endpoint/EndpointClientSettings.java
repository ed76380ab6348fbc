package io.yuccaswitch.endpoint;

import java.time.Duration;

/**
 * How the clients of endpoints behave.
 *
 * @param connectTimeout The time after which a connection that is not made is given up.
 * @param probeTimeout The time after which a load report or any other short answer is given up.
 * @param idleConnectionTime The time for which an idle connection is kept. It must be shorter than the time after which
 *     endpoints close idle connections: a connection that closes while a request is written makes a request that may
 *     have run.
 * @param idleConnections The number of idle connections that are kept.
 * @param maximumAnswerBytes The largest answer that is accepted.
 * @param maximumReportBytes The largest load report or other short answer that is accepted.
 */
public record EndpointClientSettings(
        Duration connectTimeout,
        Duration probeTimeout,
        Duration idleConnectionTime,
        int idleConnections,
        long maximumAnswerBytes,
        long maximumReportBytes) {

    /** The settings that fit endpoints in the same region. */
    public static final EndpointClientSettings DEFAULT = new EndpointClientSettings(
            Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(5), 256, 16L << 20, 1L << 20);
}
