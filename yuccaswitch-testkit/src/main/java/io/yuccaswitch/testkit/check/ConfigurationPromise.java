package io.yuccaswitch.testkit.check;

import io.yuccaswitch.testkit.check.Observation.ConfigurationAccepted;
import io.yuccaswitch.testkit.check.Observation.ConfigurationRead;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/** The promises to operators. */
public interface ConfigurationPromise extends Promise {

    /** No node reverts to an older generation of the configuration. */
    final class NeverReverts implements ConfigurationPromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("no node goes back to an older configuration");
            observations
                    .by(ConfigurationRead.class, ConfigurationRead::node)
                    .forEach((node, reads) -> judge(collector, node, reads));
            return collector.verdict();
        }

        /**
         * Checks the reads at one node. A read must not return an older generation than any read that had completed
         * before it was sent.
         *
         * @param collector The collector that records the result.
         * @param node The name of the node.
         * @param reads The reads at the node.
         */
        private static void judge(BreachCollector collector, String node, List<ConfigurationRead> reads) {
            List<ConfigurationRead> ordered = reads.stream()
                    .sorted(Comparator.comparingLong(ConfigurationRead::askedAt))
                    .toList();
            for (ConfigurationRead read : ordered) {
                long highest = ordered.stream()
                        .filter(earlier -> earlier.answeredAt() < read.askedAt())
                        .mapToLong(ConfigurationRead::generation)
                        .max()
                        .orElse(0);
                collector.judge(
                        read.generation() >= highest,
                        node + " reverted from generation " + highest + " to " + read.generation());
            }
        }
    }

    /**
     * An accepted configuration is active on every responding node within a bound, which restarts at the end of each
     * fault that occurs in the meantime.
     *
     * @param bound The time after which no node may report an older generation.
     */
    record ActiveWithinBound(Duration bound) implements ConfigurationPromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("an accepted configuration is in force within " + bound);
            List<ConfigurationRead> reads = observations.of(ConfigurationRead.class);
            PropagationDeadline propagation = PropagationDeadline.of(bound, observations);
            for (ConfigurationAccepted accepted : observations.of(ConfigurationAccepted.class)) {
                long deadline = propagation.deadline(accepted.acceptedAt());
                reads.stream()
                        .filter(read -> read.askedAt() > deadline)
                        .forEach(read -> collector.judge(
                                read.generation() >= accepted.generation(),
                                read.node() + " reported generation " + read.generation() + " after "
                                        + (read.askedAt() - accepted.acceptedAt()) + " ms instead of "
                                        + accepted.generation()));
            }
            return collector.verdict();
        }
    }
}
