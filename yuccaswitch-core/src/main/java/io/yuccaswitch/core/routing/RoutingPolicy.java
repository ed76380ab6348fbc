package io.yuccaswitch.core.routing;

import io.yuccaswitch.core.configuration.RoutingSettings;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/** Chooses the endpoint that serves a request. */
public interface RoutingPolicy {

    /**
     * Chooses an endpoint.
     *
     * @param candidates The endpoints that could serve the request now, at least one, ordered by name.
     * @param random The source of randomness.
     * @return The choice.
     */
    RoutingCandidate choose(List<RoutingCandidate> candidates, SplittableRandom random);

    /**
     * Returns the score of a candidate, to explain the choice.
     *
     * @param candidate The candidate.
     * @return The score, where a lower one is better.
     */
    double score(RoutingCandidate candidate);

    /**
     * Creates the policy that the settings select.
     *
     * @param settings The settings of the pool.
     * @return The policy.
     */
    static RoutingPolicy of(RoutingSettings settings) {
        return switch (settings.policy()) {
            case RANDOM -> new RandomChoice();
            case ROUND_ROBIN -> new RoundRobin();
            case LEAST_IN_FLIGHT -> new LeastInFlight();
            case POWER_OF_TWO_CHOICES -> new PowerOfTwoChoices(settings.prefixAffinity());
            case ITERATION_TIME_ESTIMATE -> new IterationTimeEstimate(settings.prefixAffinity());
        };
    }

    /**
     * Reduces a cost according to the cached share of the prompt.
     *
     * @param cost The cost without regard to the cache.
     * @param candidate The candidate.
     * @param affinity The weight of cached prefixes relative to the load.
     * @return The reduced cost.
     */
    private static double withAffinity(double cost, RoutingCandidate candidate, double affinity) {
        return cost / (1 + affinity * candidate.cachedShare());
    }

    /**
     * Returns the candidate with the lowest score. Ties are broken in favour of the first one after a random index.
     *
     * @param candidates The candidates.
     * @param score The score.
     * @param random The source of randomness.
     * @return The candidate.
     */
    private static RoutingCandidate lowest(
            List<RoutingCandidate> candidates, ToDoubleFunction<RoutingCandidate> score, SplittableRandom random) {
        int start = random.nextInt(candidates.size());
        RoutingCandidate best = candidates.get(start);
        double lowest = score.applyAsDouble(best);
        for (int index = 1; index < candidates.size(); index++) {
            RoutingCandidate candidate = candidates.get((start + index) % candidates.size());
            double value = score.applyAsDouble(candidate);
            if (value < lowest) {
                best = candidate;
                lowest = value;
            }
        }
        return best;
    }

    /** Selects an endpoint at random. */
    final class RandomChoice implements RoutingPolicy {

        /** {@inheritDoc} */
        @Override
        public RoutingCandidate choose(List<RoutingCandidate> candidates, SplittableRandom random) {
            return candidates.get(random.nextInt(candidates.size()));
        }

        /** {@inheritDoc} */
        @Override
        public double score(RoutingCandidate _candidate) {
            return 0;
        }
    }

    /** Selects the endpoints in turn. */
    final class RoundRobin implements RoutingPolicy {

        /** The number of choices so far. */
        private int choices;

        /** {@inheritDoc} */
        @Override
        public RoutingCandidate choose(List<RoutingCandidate> candidates, SplittableRandom _random) {
            choices = (choices + 1) & Integer.MAX_VALUE;
            return candidates.get(choices % candidates.size());
        }

        /** {@inheritDoc} */
        @Override
        public double score(RoutingCandidate _candidate) {
            return 0;
        }
    }

    /** Selects the endpoint with the fewest requests of this node in flight. */
    final class LeastInFlight implements RoutingPolicy {

        /** {@inheritDoc} */
        @Override
        public RoutingCandidate choose(List<RoutingCandidate> candidates, SplittableRandom random) {
            return lowest(candidates, RoutingCandidate::ownInFlight, random);
        }

        /** {@inheritDoc} */
        @Override
        public double score(RoutingCandidate candidate) {
            return candidate.ownInFlight();
        }
    }

    /**
     * Selects the less loaded of two random candidates by their estimated load, which spreads the choices of many nodes
     * that use the same delayed reports. The candidate with the largest cached share is always included.
     */
    final class PowerOfTwoChoices implements RoutingPolicy {

        /** The weight of cached prefixes relative to the load. */
        private final double affinity;

        /**
         * Creates a new policy.
         *
         * @param affinity The weight of cached prefixes relative to the load.
         */
        public PowerOfTwoChoices(double affinity) {
            this.affinity = affinity;
        }

        /** {@inheritDoc} */
        @Override
        public RoutingCandidate choose(List<RoutingCandidate> candidates, SplittableRandom random) {
            List<RoutingCandidate> drawn = CandidateSample.draw(candidates, affinity, random);
            return lowest(drawn, candidate -> score(candidate), random);
        }

        /** {@inheritDoc} */
        @Override
        public double score(RoutingCandidate candidate) {
            return withAffinity(candidate.load() + 1, candidate, affinity);
        }
    }

    /**
     * Selects the candidate with the lowest predicted iteration time, which grows linearly with the active requests,
     * out of two random ones. The prediction for a full engine includes the waiting requests.
     */
    final class IterationTimeEstimate implements RoutingPolicy {

        /** The weight of cached prefixes relative to the load. */
        private final double affinity;

        /**
         * Creates a new policy.
         *
         * @param affinity The weight of cached prefixes relative to the load.
         */
        public IterationTimeEstimate(double affinity) {
            this.affinity = affinity;
        }

        /** {@inheritDoc} */
        @Override
        public RoutingCandidate choose(List<RoutingCandidate> candidates, SplittableRandom random) {
            if (!candidates.stream().allMatch(candidate -> candidate.model().isFitted())) {
                return new PowerOfTwoChoices(affinity).choose(candidates, random);
            }
            List<RoutingCandidate> drawn = CandidateSample.draw(candidates, affinity, random);
            return lowest(drawn, candidate -> score(candidate), random);
        }

        /** {@inheritDoc} */
        @Override
        public double score(RoutingCandidate candidate) {
            if (!candidate.model().isFitted()) {
                return candidate.load() + 1;
            }
            double load = candidate.load() + 1;
            double active = candidate.capacity() > 0 ? Math.min(load, candidate.capacity()) : load;
            double time = candidate.model().predict(active) * load / active;
            return withAffinity(time, candidate, affinity);
        }
    }
}
