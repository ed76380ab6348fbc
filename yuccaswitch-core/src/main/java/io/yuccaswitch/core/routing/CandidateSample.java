package io.yuccaswitch.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Draws the few candidates that a policy compares. */
final class CandidateSample {

    /** This class has no instances. */
    private CandidateSample() {}

    /**
     * Draws two different candidates at random, and adds the one whose cache fits best if there is one.
     *
     * @param candidates The candidates, at least one.
     * @param affinity The weight of the cache, where zero ignores it.
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
