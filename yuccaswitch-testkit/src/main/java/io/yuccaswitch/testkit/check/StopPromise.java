package io.yuccaswitch.testkit.check;

import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import io.yuccaswitch.testkit.check.Observation.EndpointLeft;
import io.yuccaswitch.testkit.check.Observation.EndpointRefused;
import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import io.yuccaswitch.testkit.check.Observation.NodeCrash;
import io.yuccaswitch.testkit.check.Observation.PlannedStop;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/** The promises about leaving endpoints and planned stops of nodes. */
public interface StopPromise extends Promise {

    /**
     * A leaving endpoint receives no new request after a bound, which restarts at the end of each fault that occurs in
     * the meantime. Requests that it refuses count as received.
     *
     * @param bound The time after which it must receive no request.
     */
    record LeavingEndpointsReceiveNothing(Duration bound) implements StopPromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("a leaving endpoint gets nothing after " + bound);
            Map<String, List<EndpointRun>> runs = observations.by(EndpointRun.class, EndpointRun::endpoint);
            Map<String, List<EndpointRefused>> refusals =
                    observations.by(EndpointRefused.class, EndpointRefused::endpoint);
            PropagationDeadline propagation = PropagationDeadline.of(bound, observations);
            for (EndpointLeft left : observations.of(EndpointLeft.class)) {
                long end = propagation.deadline(left.leftAt());
                LongStream ran =
                        runs.getOrDefault(left.endpoint(), List.of()).stream().mapToLong(EndpointRun::startedAt);
                LongStream refused = refusals.getOrDefault(left.endpoint(), List.of()).stream()
                        .mapToLong(EndpointRefused::refusedAt);
                OptionalLong late = LongStream.concat(ran, refused)
                        .filter(startedAt -> startedAt > end && startedAt < left.replacedAt())
                        .min();
                collector.judge(
                        late.isEmpty(),
                        left.endpoint() + " received a request " + (late.orElse(0) - left.leftAt())
                                + " ms after it reported that it is leaving");
            }
            return collector.verdict();
        }
    }

    /** A planned stop of a node interrupts no request in progress. */
    final class PlannedStopsInterruptNothing implements StopPromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("a planned stop cuts no request");
            List<NodeCrash> crashes = observations.of(NodeCrash.class);
            Map<String, List<CallerAttempt>> attempts = observations.by(CallerAttempt.class, CallerAttempt::node);
            for (PlannedStop stop : observations.of(PlannedStop.class)) {
                for (CallerAttempt attempt : attempts.getOrDefault(stop.node(), List.of())) {
                    boolean during = attempt.endedAt() >= stop.from() && attempt.sentAt() <= stop.until();
                    boolean crashed = crashes.stream()
                            .anyMatch(crash -> crash.node().equals(stop.node())
                                    && attempt.endedAt() >= crash.from()
                                    && attempt.sentAt() <= crash.until());
                    if (during && !crashed) {
                        collector.judge(
                                attempt.end() != AttemptEnd.CUT && attempt.end() != AttemptEnd.NOT_CONNECTED,
                                attempt.requestId() + " was interrupted by the planned stop of " + stop.node() + ": "
                                        + attempt);
                    }
                }
            }
            return collector.verdict();
        }
    }
}
