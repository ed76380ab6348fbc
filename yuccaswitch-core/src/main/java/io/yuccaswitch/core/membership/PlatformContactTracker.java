package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformReachability;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks when the platform last answered any node. Exchanges carry the latest answer recorded at the sender. A higher
 * number of the same observer replaces a lower one. Of the same number, the earliest estimate is kept, since each hop
 * makes an answer appear more recent than it is.
 */
final class PlatformContactTracker implements PlatformReachability {

    /** The maximum number of observers that are retained. */
    private static final int MAXIMUM_OBSERVERS = 64;

    /**
     * The minimum interval between two recorded observations of this node, so that a node with many platform calls does
     * not flood the others with updates.
     */
    private static final Duration MINIMUM_OBSERVATION_INTERVAL = Duration.ofMillis(500);

    /** The table of members. */
    private final MemberTable table;

    /** The health of this node, which is uncertain after a pause. */
    private final SelfHealth health;

    /** The latest observations by their observers. */
    private final EntityTable<NodeName, Observation> observations = new EntityTable<>();

    /** The time at which the platform last answered this node. */
    private Optional<MonotonicTime> ownLastAnswerAt = Optional.empty();

    /** The number of this node's latest recorded observation. */
    private long ownObservationNumber;

    /** The maximum number of working nodes since the latest answer of the platform. */
    private int maximumWorkingSinceAnswer;

    /** The time of the latest recorded answer. */
    private Optional<MonotonicTime> latestAnswerAt = Optional.empty();

    /**
     * Creates an instance without any observations.
     *
     * @param table The table of members.
     * @param health The health of this node, which is uncertain after a pause.
     */
    PlatformContactTracker(MemberTable table, SelfHealth health) {
        this.table = table;
        this.health = health;
    }

    /**
     * Records answers of the platform to this node.
     *
     * @param tick The tick.
     */
    void observe(Tick tick) {
        boolean answered = tick.events(PlatformEvent.class).stream()
                .anyMatch(event -> !(event instanceof PlatformEvent.Unavailable));
        if (!answered) {
            return;
        }
        MonotonicTime now = tick.now();
        ownLastAnswerAt = Optional.of(now);
        NodeIdentity self = table.self().identity();
        boolean due = observations
                .find(self.name())
                .map(own -> now.since(own.at()).compareTo(MINIMUM_OBSERVATION_INTERVAL) >= 0)
                .orElse(true);
        if (due) {
            ownObservationNumber++;
            store(new Observation(self, ownObservationNumber, now));
        }
    }

    /**
     * Applies an observation that another node reported.
     *
     * @param now The current time.
     * @param observation The reported observation.
     */
    void apply(MonotonicTime now, PlatformObservation observation) {
        MonotonicTime at = now.plus(Duration.ofMillis(-Math.max(0, observation.ageMillis())));
        Observation candidate = new Observation(observation.observer(), observation.number(), at);
        Optional<Observation> existing =
                observations.find(observation.observer().name());
        boolean self =
                observation.observer().name().equals(table.self().identity().name());
        if (!self && existing.map(candidate::replaces).orElse(true)) {
            store(candidate);
        }
    }

    /**
     * Returns the milliseconds since the platform last answered this node.
     *
     * @param now The current time.
     * @return The milliseconds, or empty if it never did.
     */
    OptionalLong ownAge(MonotonicTime now) {
        return ownLastAnswerAt
                .map(last -> OptionalLong.of(now.since(last).toMillis()))
                .orElseGet(OptionalLong::empty);
    }

    /**
     * Returns the latest recorded answer.
     *
     * @param now The current time.
     * @return The observation, or empty if there is none.
     */
    Optional<PlatformObservation> latest(MonotonicTime now) {
        return observations.view().stream()
                .max(Comparator.comparing(Observation::at))
                .map(last -> new PlatformObservation(
                        last.observer(), last.number(), now.since(last.at()).toMillis()));
    }

    /** {@inheritDoc} */
    @Override
    public Optional<Duration> unreachableFor(MonotonicTime now) {
        maximumWorkingSinceAnswer =
                Math.max(maximumWorkingSinceAnswer, table.working().size());
        long alive = table.working().stream()
                .filter(member -> member.condition() == MemberCondition.ALIVE)
                .count();
        if (health.isUncertain() || alive * 2 <= maximumWorkingSinceAnswer) {
            return Optional.empty();
        }
        return latestAnswerAt.map(now::since);
    }

    /**
     * Stores an observation.
     *
     * @param observation The observation.
     */
    private void store(Observation observation) {
        observations.put(observation.observer().name(), observation);
        if (observations.size() > MAXIMUM_OBSERVERS) {
            observations.view().stream()
                    .min(Comparator.comparing(Observation::at))
                    .ifPresent(oldest -> observations.remove(oldest.observer().name()));
        }
        Optional<MonotonicTime> newest =
                observations.view().stream().map(Observation::at).max(Comparator.naturalOrder());
        if (latestAnswerAt.isEmpty() || latestAnswerAt.get().isBefore(newest.orElseThrow())) {
            maximumWorkingSinceAnswer = table.working().size();
        }
        latestAnswerAt = newest;
    }

    /**
     * An answer of the platform to some node.
     *
     * @param observer The node.
     * @param number The number of the observation.
     * @param at The time of the answer on this node's clock.
     */
    private record Observation(NodeIdentity observer, long number, MonotonicTime at) {

        /**
         * Returns whether this observation replaces another one of the same node.
         *
         * @param other The other observation.
         * @return {@code true} if this one is later, or an earlier, more accurate estimate of the same one.
         */
        boolean replaces(Observation other) {
            if (observer.incarnation() != other.observer.incarnation()) {
                return observer.incarnation() > other.observer.incarnation();
            }
            return number > other.number || (number == other.number && at.isBefore(other.at));
        }
    }
}
