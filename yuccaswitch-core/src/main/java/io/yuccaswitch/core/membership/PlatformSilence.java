package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformNews;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * When the platform last answered any node. Exchanges carry the latest answer that a node knows of; a later number of
 * the same observer replaces an earlier one, and of the same number the oldest estimate counts, since every hop makes
 * an answer look younger than it is.
 */
final class PlatformSilence implements PlatformNews {

    /** The largest number of observers that are remembered. */
    private static final int OBSERVERS = 64;

    /** The smallest time between two observations of this node, such that a busy node does not flood the others. */
    private static final Duration OBSERVATION_INTERVAL = Duration.ofMillis(500);

    /** The table of members. */
    private final MemberTable table;

    /** Whether this node may judge for itself. */
    private final SelfHealth health;

    /** The latest observations by their observers. */
    private final EntityTable<NodeName, Heard> heard = new EntityTable<>();

    /** The time at which the platform last answered this node. */
    private Optional<MonotonicTime> ownLast = Optional.empty();

    /** The number of this node's latest observation. */
    private long ownNumber;

    /** The largest number of nodes that worked since the platform was last heard. */
    private int workingWhenHeard;

    /** The time of the latest answer that is known. */
    private Optional<MonotonicTime> latest = Optional.empty();

    /**
     * Creates a new instance that knows nothing.
     *
     * @param table The table of members.
     * @param health Whether this node may judge for itself.
     */
    PlatformSilence(MemberTable table, SelfHealth health) {
        this.table = table;
        this.health = health;
    }

    /**
     * Takes note of the platform's answers to this node.
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
        ownLast = Optional.of(now);
        NodeIdentity self = table.self().identity();
        boolean due = heard.find(self.name())
                .map(own -> now.since(own.at()).compareTo(OBSERVATION_INTERVAL) >= 0)
                .orElse(true);
        if (due) {
            ownNumber++;
            remember(new Heard(self, ownNumber, now));
        }
    }

    /**
     * Takes note of what another node knows.
     *
     * @param now The current time.
     * @param observation The other node's observation.
     */
    void learn(MonotonicTime now, PlatformObservation observation) {
        MonotonicTime at = now.plus(Duration.ofMillis(-Math.max(0, observation.ageMillis())));
        Heard candidate = new Heard(observation.observer(), observation.number(), at);
        Optional<Heard> known = heard.find(observation.observer().name());
        boolean self =
                observation.observer().name().equals(table.self().identity().name());
        if (!self && known.map(candidate::replaces).orElse(true)) {
            remember(candidate);
        }
    }

    /**
     * Returns the milliseconds since the platform last answered this node.
     *
     * @param now The current time.
     * @return The milliseconds, or empty if it never did.
     */
    OptionalLong ownAge(MonotonicTime now) {
        return ownLast.map(last -> OptionalLong.of(now.since(last).toMillis())).orElseGet(OptionalLong::empty);
    }

    /**
     * Returns the latest answer that is known.
     *
     * @param now The current time.
     * @return The observation, or empty if there is none.
     */
    Optional<PlatformObservation> latest(MonotonicTime now) {
        return heard.view().stream()
                .max(Comparator.comparing(Heard::at))
                .map(last -> new PlatformObservation(
                        last.observer(), last.number(), now.since(last.at()).toMillis()));
    }

    /** {@inheritDoc} */
    @Override
    public Optional<Duration> silentFor(MonotonicTime now) {
        workingWhenHeard = Math.max(workingWhenHeard, table.working().size());
        long alive = table.working().stream()
                .filter(member -> member.condition() == MemberCondition.ALIVE)
                .count();
        if (health.isDoubtful() || alive * 2 <= workingWhenHeard) {
            return Optional.empty();
        }
        return latest.map(now::since);
    }

    /**
     * Remembers an observation.
     *
     * @param observation The observation.
     */
    private void remember(Heard observation) {
        heard.put(observation.observer().name(), observation);
        if (heard.size() > OBSERVERS) {
            heard.view().stream()
                    .min(Comparator.comparing(Heard::at))
                    .ifPresent(oldest -> heard.remove(oldest.observer().name()));
        }
        Optional<MonotonicTime> newest = heard.view().stream().map(Heard::at).max(Comparator.naturalOrder());
        if (latest.isEmpty() || latest.get().isBefore(newest.orElseThrow())) {
            workingWhenHeard = table.working().size();
        }
        latest = newest;
    }

    /**
     * An answer of the platform to some node.
     *
     * @param observer The node.
     * @param number The number of the observation.
     * @param at The time of the answer on this node's clock.
     */
    private record Heard(NodeIdentity observer, long number, MonotonicTime at) {

        /**
         * Returns whether this observation replaces another one of the same node.
         *
         * @param other The other observation.
         * @return {@code true} if this one is later, or a truer estimate of the same one.
         */
        boolean replaces(Heard other) {
            if (observer.incarnation() != other.observer.incarnation()) {
                return observer.incarnation() > other.observer.incarnation();
            }
            return number > other.number || (number == other.number && at.isBefore(other.at));
        }
    }
}
