package io.yuccaswitch.testkit.check;

import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import io.yuccaswitch.testkit.check.Observation.EndpointRun;
import java.util.List;
import java.util.Map;

/** The promises to callers. */
public interface RequestPromise extends Promise {

    /** A request that is not idempotent runs at most once. */
    final class AtMostOnce implements RequestPromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("a non-idempotent request runs at most once");
            Map<String, List<EndpointRun>> runs = observations.by(EndpointRun.class, EndpointRun::requestId);
            observations.by(CallerAttempt.class, CallerAttempt::requestId).forEach((id, attempts) -> {
                if (attempts.get(0).idempotent()) {
                    return;
                }
                List<EndpointRun> own = runs.getOrDefault(id, List.of());
                collector.judge(own.size() <= 1, id + " ran " + own.size() + " times: " + own);
            });
            return collector.verdict();
        }
    }

    /**
     * A refusal that reports "not run" is accurate. It is contradicted by a run that started before the caller received
     * the refusal, or by a run that no later attempt of the caller explains.
     */
    final class AccurateRefusals implements RequestPromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("a refusal that says not run is true");
            Map<String, List<EndpointRun>> runs = observations.by(EndpointRun.class, EndpointRun::requestId);
            observations
                    .by(CallerAttempt.class, CallerAttempt::requestId)
                    .forEach((id, attempts) -> judge(collector, attempts, runs.getOrDefault(id, List.of())));
            return collector.verdict();
        }

        /**
         * Checks the refusals of one request.
         *
         * @param collector The collector that records the results.
         * @param attempts The attempts of the caller for the request.
         * @param runs The runs of the request.
         */
        private static void judge(BreachCollector collector, List<CallerAttempt> attempts, List<EndpointRun> runs) {
            for (CallerAttempt refused : attempts) {
                if (refused.end() != AttemptEnd.NOT_RUN) {
                    continue;
                }
                boolean sentLater = attempts.stream().anyMatch(other -> other.endedAt() > refused.endedAt());
                boolean contradicted = runs.stream()
                        .anyMatch(run -> refused.idempotent()
                                ? ranFor(refused, run, attempts)
                                : !sentLater || run.startedAt() < refused.endedAt());
                collector.judge(!contradicted, refused.requestId() + " was refused as not run but ran: " + runs);
            }
        }

        /**
         * Returns whether a run of an idempotent request belongs to the refused attempt, because the attempt is the
         * only one of the caller that had been sent when the run started.
         *
         * @param refused The refused attempt.
         * @param run The run.
         * @param attempts All attempts for the request.
         * @return {@code true} if no other attempt explains the run.
         */
        private static boolean ranFor(CallerAttempt refused, EndpointRun run, List<CallerAttempt> attempts) {
            return attempts.stream().noneMatch(other -> !other.equals(refused) && other.sentAt() <= run.startedAt());
        }
    }

    /** A caller receives the complete answer to its own request. */
    final class CompleteOwnAnswers implements RequestPromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("a caller receives the whole answer to its own request");
            for (CallerAttempt attempt : observations.of(CallerAttempt.class)) {
                if (attempt.end() == AttemptEnd.ANSWERED) {
                    collector.judge(
                            attempt.own() && attempt.whole(),
                            attempt.requestId() + " received an answer that is"
                                    + (attempt.own() ? "" : " not its own")
                                    + (attempt.whole() ? "" : " not complete") + ": " + attempt.detail());
                }
            }
            return collector.verdict();
        }
    }

    /** An answer to a request that is not idempotent results from a completed run. */
    final class AnswersFromCompletedRuns implements RequestPromise {

        /** {@inheritDoc} */
        @Override
        public Verdict judge(Observations observations) {
            BreachCollector collector = new BreachCollector("an answered non-idempotent request ran to its end");
            Map<String, List<EndpointRun>> runs = observations.by(EndpointRun.class, EndpointRun::requestId);
            for (CallerAttempt attempt : observations.of(CallerAttempt.class)) {
                if (attempt.end() == AttemptEnd.ANSWERED && !attempt.idempotent()) {
                    collector.judge(
                            runs.getOrDefault(attempt.requestId(), List.of()).stream()
                                    .anyMatch(EndpointRun::completed),
                            attempt.requestId() + " was answered but has no completed run");
                }
            }
            return collector.verdict();
        }
    }
}
