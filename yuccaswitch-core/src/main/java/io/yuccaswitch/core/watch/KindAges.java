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
 * The age of a node's state for each kind. A watcher includes the ages of all its kinds in its answers for the one kind
 * that is requested at short intervals, so the other kinds need no message of their own for this.
 */
final class KindAges {

    /** The watches of this node. */
    private final List<SharedKindWatch> watches = new ArrayList<>();

    /** The latest report of a watcher, by kind. */
    private final Map<String, Report> reports = new HashMap<>();

    /**
     * Adds a watch of this node.
     *
     * @param watch The watch.
     */
    void add(SharedKindWatch watch) {
        watches.add(watch);
    }

    /**
     * Returns the age of this node's state for each kind.
     *
     * @param tick The tick.
     * @return The ages of the kinds for which this node has any state.
     */
    List<WatchMessage.KindAge> localAges(Tick tick) {
        List<WatchMessage.KindAge> ages = new ArrayList<>();
        for (SharedKindWatch watch : watches) {
            watch.confirmedAt()
                    .ifPresent(at -> ages.add(new WatchMessage.KindAge(
                            watch.kind(), watch.changedAt(), WatchServer.ageMillis(at, tick))));
        }
        return ages;
    }

    /**
     * Records the ages that a watcher reported.
     *
     * @param ages The ages at the watcher.
     * @param writtenAt The earliest time at which the watcher can have written the report.
     * @param now The current time.
     */
    void apply(List<WatchMessage.KindAge> ages, MonotonicTime writtenAt, MonotonicTime now) {
        for (WatchMessage.KindAge age : ages) {
            Duration confirmedAge = Duration.ofMillis(age.confirmedAgeMillis());
            reports.put(age.kind(), new Report(age.changedAt(), writtenAt.plus(confirmedAge.negated()), now));
        }
    }

    /** Discards all reports after the VM was suspended, as its clock stopped meanwhile. */
    void suspended() {
        reports.clear();
    }

    /**
     * Returns the latest report of a watcher for a kind.
     *
     * @param kind The kind.
     * @return The report, or empty if there is none.
     */
    Optional<Report> report(String kind) {
        return Optional.ofNullable(reports.get(kind));
    }

    /**
     * A watcher's report on its state of a kind.
     *
     * @param changedAt The version of the latest change that the watcher has received.
     * @param confirmedAt The time as of which the watcher's state is guaranteed to be complete.
     * @param receivedAt When the report was received.
     */
    record Report(long changedAt, MonotonicTime confirmedAt, MonotonicTime receivedAt) {}
}
