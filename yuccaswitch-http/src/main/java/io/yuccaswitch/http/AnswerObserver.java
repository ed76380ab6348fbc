package io.yuccaswitch.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.jboss.logging.Logger;

/** Receives what is wrong with answers and connections, for operators. */
public interface AnswerObserver {

    /**
     * Observes a malformed answer.
     *
     * @param peer The address from which it came.
     * @param exception The fault.
     */
    void malformed(String peer, MalformedAnswerException exception);

    /**
     * Observes that an open connection can't be used for the next request.
     *
     * @param peer The address to which it leads.
     * @param condition The condition of the connection.
     * @param bytes The bytes that it holds, escaped.
     */
    void unusable(String peer, ConnectionCondition condition, String bytes);

    /**
     * Observes received bytes.
     *
     * @param bytes Their number.
     */
    void received(int bytes);

    /**
     * Counts the received bytes. Increments a counter and writes a log line for each other observation. A connection
     * that the peer has closed is usual, so its line is for debugging only.
     */
    final class Reporting implements AnswerObserver {

        /** The logger. */
        private static final Logger LOGGER = Logger.getLogger(AnswerObserver.class);

        /** The metrics. */
        private final MetricRegistry metrics;

        /** The name of the client in logs and metrics. */
        private final String client;

        /** The number of received bytes. */
        private final Counter received;

        /**
         * Creates an observer.
         *
         * @param metrics The metrics.
         * @param client The name of the client in logs and metrics.
         */
        public Reporting(MetricRegistry metrics, String client) {
            this.metrics = metrics;
            this.client = client;
            received = metrics.counter(client + ".received-bytes");
        }

        /** {@inheritDoc} */
        @Override
        public void malformed(String peer, MalformedAnswerException exception) {
            metrics.counter(client + ".malformed-answers." + exception.fault().label())
                    .inc();
            LOGGER.warnf(
                    "event=answer-malformed client=%s peer=%s reason=\"%s\"", client, peer, exception.getMessage());
        }

        /** {@inheritDoc} */
        @Override
        public void unusable(String peer, ConnectionCondition condition, String bytes) {
            metrics.counter(client + ".unusable-connections." + condition.label())
                    .inc();
            LOGGER.logf(
                    condition == ConnectionCondition.ENDED ? Logger.Level.DEBUG : Logger.Level.WARN,
                    "event=connection-unusable client=%s peer=%s condition=%s bytes=\"%s\"",
                    client,
                    peer,
                    condition.label(),
                    bytes);
        }

        /** {@inheritDoc} */
        @Override
        public void received(int bytes) {
            received.inc(bytes);
        }
    }

    /** Ignores all observations. */
    enum NoOp implements AnswerObserver {
        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public void malformed(String _peer, MalformedAnswerException _exception) {}

        /** {@inheritDoc} */
        @Override
        public void unusable(String _peer, ConnectionCondition _condition, String _bytes) {}

        /** {@inheritDoc} */
        @Override
        public void received(int _bytes) {}
    }
}
