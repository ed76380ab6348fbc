package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * How old what a node knows of each kind is. A node tells it of all kinds with its answers for the one that is asked
 * for at short intervals, so the age of the others is known without a message of their own.
 */
final class KindAges {

    /** The watches of this node. */
    private final List<SharedKindWatch> watches = new ArrayList<>();

    /** What watching nodes told last, by kind. */
    private final Map<String, Told> told = new HashMap<>();

    /**
     * Adds a watch of this node.
     *
     * @param watch The watch.
     */
    void add(SharedKindWatch watch) {
        watches.add(watch);
    }

    /**
     * Returns how old what this node knows of each kind is.
     *
     * @param tick The tick.
     * @return The ages of the kinds of which anything is known.
     */
    List<WatchMessage.KindAge> own(Tick tick) {
        List<WatchMessage.KindAge> ages = new ArrayList<>();
        for (SharedKindWatch watch : watches) {
            watch.confirmedAt()
                    .ifPresent(at -> ages.add(new WatchMessage.KindAge(
                            watch.kind(), watch.changedAt(), WatchServer.ageMillis(at, tick))));
        }
        return ages;
    }

    /**
     * Takes what a watching node told.
     *
     * @param ages The ages at that node.
     * @param writtenAt The earliest time at which it can have written them.
     * @param now The present.
     */
    void take(List<WatchMessage.KindAge> ages, MonotonicTime writtenAt, MonotonicTime now) {
        for (WatchMessage.KindAge age : ages) {
            Duration confirmedAge = Duration.ofMillis(age.confirmedAgeMillis());
            told.put(age.kind(), new Told(age.changedAt(), writtenAt.plus(confirmedAge.negated()), now));
        }
    }

    /** Forgets what was told, as the machine was suspended since and its clock stood still meanwhile. */
    void suspended() {
        told.clear();
    }

    /**
     * Returns what a watching node told last of a kind.
     *
     * @param kind The kind.
     * @return What it told, or empty if none did.
     */
    Optional<Told> told(String kind) {
        return Optional.ofNullable(told.get(kind));
    }

    /**
     * What a watching node told of a kind.
     *
     * @param changedAt The version of the latest change that it knows.
     * @param confirmedAt When the platform surely held nothing beyond that.
     * @param at When it was told.
     */
    record Told(long changedAt, MonotonicTime confirmedAt, MonotonicTime at) {}
}
