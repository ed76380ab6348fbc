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

/** The promises about what leaves. */
public interface StopPromise extends Promise {

    /**
     * An endpoint that is leaving gets no new work after a few seconds, counted from the end of the faults that struck
     * meanwhile. Work that it refuses counts too.
     *
     * @param bound The time after which it gets nothing.
     */
    record LeavingEndpointsRest(Duration bound) implements StopPromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("a leaving endpoint gets nothing after " + bound);
            Map<String, List<EndpointRun>> runs = observations.by(EndpointRun.class, EndpointRun::endpoint);
            Map<String, List<EndpointRefused>> refusals =
                    observations.by(EndpointRefused.class, EndpointRefused::endpoint);
            Grace grace = Grace.of(bound, observations);
            for (EndpointLeft left : observations.of(EndpointLeft.class)) {
                long end = grace.deadline(left.leftAt());
                LongStream ran =
                        runs.getOrDefault(left.endpoint(), List.of()).stream().mapToLong(EndpointRun::startedAt);
                LongStream refused = refusals.getOrDefault(left.endpoint(), List.of()).stream()
                        .mapToLong(EndpointRefused::refusedAt);
                OptionalLong late = LongStream.concat(ran, refused)
                        .filter(startedAt -> startedAt > end && startedAt < left.replacedAt())
                        .min();
                collector.judge(
                        late.isEmpty(),
                        left.endpoint() + " got work " + (late.orElse(0) - left.leftAt()) + " ms after it left");
            }
            return collector.verdict();
        }
    }

    /** A planned stop of a node cuts no request in progress. */
    final class PlannedStopsCutNothing implements StopPromise {

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
                                attempt.requestId() + " was cut by the stop of " + stop.node() + ": " + attempt);
                    }
                }
            }
            return collector.verdict();
        }
    }
}
