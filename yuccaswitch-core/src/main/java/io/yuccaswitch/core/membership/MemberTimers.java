package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/** Tracks since when members have been suspected or dead, on this node's clock. */
final class MemberTimers {

    /** The suspected members. */
    private final EntityTable<NodeName, Timer> suspected = new EntityTable<>();

    /** The dead members, in the order in which they were recorded as dead. */
    private final EntityTable<NodeName, Timer> dead = new EntityTable<>();

    /**
     * Starts the timer of a suspected member, unless it is already running.
     *
     * @param name The member's name.
     * @param now The current time.
     */
    void startSuspicionTimer(NodeName name, MonotonicTime now) {
        if (!suspected.contains(name)) {
            suspected.put(name, new Timer(name, now));
        }
    }

    /**
     * Returns whether a member is suspected.
     *
     * @param name The member's name.
     * @return {@code true} if the member is suspected.
     */
    boolean isSuspected(NodeName name) {
        return suspected.contains(name);
    }

    /**
     * Starts the timer of a dead member.
     *
     * @param name The member's name.
     * @param now The current time.
     */
    void startDeathTimer(NodeName name, MonotonicTime now) {
        clear(name);
        dead.put(name, new Timer(name, now));
    }

    /**
     * Stops all timers of a member.
     *
     * @param name The member's name.
     */
    void clear(NodeName name) {
        suspected.remove(name);
        dead.remove(name);
    }

    /**
     * Restarts the timers of all suspected members.
     *
     * @param now The current time.
     */
    void restartSuspicions(MonotonicTime now) {
        suspected.rows().forEach(timer -> suspected.put(timer.name(), new Timer(timer.name(), now)));
    }

    /**
     * Returns the members whose suspicion has timed out.
     *
     * @param now The current time.
     * @param time The time-out of a suspicion.
     * @return The members' names.
     */
    List<NodeName> expiredSuspicions(MonotonicTime now, Duration time) {
        return suspected.view().stream()
                .filter(timer -> timer.hasExpired(now, time))
                .map(Timer::name)
                .toList();
    }

    /**
     * Returns the dead members whose retention has ended, because of their age or their number.
     *
     * @param now The current time.
     * @param time The time for which a dead member is retained.
     * @param limit The maximum number of dead members that are retained.
     * @return The members' names.
     */
    List<NodeName> expiredDeaths(MonotonicTime now, Duration time, int limit) {
        List<Timer> oldestFirst =
                dead.view().stream().sorted(Comparator.comparing(Timer::since)).toList();
        int excess = Math.max(0, oldestFirst.size() - limit);
        return oldestFirst.stream()
                .filter(timer -> timer.hasExpired(now, time) || oldestFirst.indexOf(timer) < excess)
                .map(Timer::name)
                .toList();
    }

    /**
     * A timer of a member.
     *
     * @param name The member's name.
     * @param since The time at which the timer was started.
     */
    private record Timer(NodeName name, MonotonicTime since) {

        /**
         * Returns whether a duration has passed since the timer was started.
         *
         * @param now The current time.
         * @param time The duration.
         * @return {@code true} if at least this duration has passed.
         */
        boolean hasExpired(MonotonicTime now, Duration time) {
            return now.since(since).compareTo(time) >= 0;
        }
    }
}
