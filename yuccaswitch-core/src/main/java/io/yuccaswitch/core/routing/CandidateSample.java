package io.yuccaswitch.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Samples the candidates that a policy compares. */
final class CandidateSample {

    /** This class has no instances. */
    private CandidateSample() {}

    /**
     * Samples two distinct candidates at random, and adds the one with the largest cached share of the prompt, if any.
     *
     * @param candidates The candidates, at least one.
     * @param affinity The weight of cached prefixes, where zero ignores them.
     * @param random The source of randomness.
     * @return One to three candidates.
     */
    static List<RoutingCandidate> draw(List<RoutingCandidate> candidates, double affinity, SplittableRandom random) {
        if (candidates.size() <= 2) {
            return candidates;
        }
        int first = random.nextInt(candidates.size());
        int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
        Optional<RoutingCandidate> cached = candidates.stream()
                .filter(candidate -> affinity > 0 && candidate.cachedShare() > 0)
                .max(Comparator.comparingDouble(RoutingCandidate::cachedShare));
        return cached.map(candidate -> List.of(candidates.get(first), candidates.get(second), candidate))
                .orElseGet(() -> List.of(candidates.get(first), candidates.get(second)));
    }
}
