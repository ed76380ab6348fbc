package io.yuccaswitch.endpoint;

import java.time.Duration;

/**
 * How the clients of endpoints behave.
 *
 * @param connectTimeout The time after which an attempt to connect times out.
 * @param probeTimeout The time after which a load report or any other short answer times out.
 * @param idleConnectionTime The time for which an idle connection is retained. It must be shorter than the time after
 *     which endpoints close idle connections: if a connection closes while a request is being written, the request may
 *     have run.
 * @param idleConnections The maximum number of idle connections that are retained.
 * @param maximumAnswerBytes The maximum size of an answer.
 * @param maximumReportBytes The maximum size of a load report or any other short answer.
 */
public record EndpointClientSettings(
        Duration connectTimeout,
        Duration probeTimeout,
        Duration idleConnectionTime,
        int idleConnections,
        long maximumAnswerBytes,
        long maximumReportBytes) {

    /** The default settings, for endpoints in the same region. */
    public static final EndpointClientSettings DEFAULT = new EndpointClientSettings(
            Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(5), 256, 16L << 20, 1L << 20);
}
