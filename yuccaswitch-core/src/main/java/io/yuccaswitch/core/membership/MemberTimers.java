package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/** Since when members are suspected or dead, as this node counts it. */
final class MemberTimers {

    /** The suspected members. */
    private final EntityTable<NodeName, Timer> suspected = new EntityTable<>();

    /** The dead members, in the order in which they died. */
    private final EntityTable<NodeName, Timer> dead = new EntityTable<>();

    /**
     * Starts the timer of a suspected member, unless it runs already.
     *
     * @param name The member's name.
     * @param now The current time.
     */
    void suspect(NodeName name, MonotonicTime now) {
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
    void bury(NodeName name, MonotonicTime now) {
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
     * Starts the timers of all suspected members anew.
     *
     * @param now The current time.
     */
    void restartSuspicions(MonotonicTime now) {
        suspected.rows().forEach(timer -> suspected.put(timer.name(), new Timer(timer.name(), now)));
    }

    /**
     * Returns the members that have been suspected for long enough.
     *
     * @param now The current time.
     * @param time The time for which a member is suspected.
     * @return The members' names.
     */
    List<NodeName> expiredSuspicions(MonotonicTime now, Duration time) {
        return suspected.view().stream()
                .filter(timer -> timer.hasRun(now, time))
                .map(Timer::name)
                .toList();
    }

    /**
     * Returns the dead members that need not be remembered any longer.
     *
     * @param now The current time.
     * @param time The time for which a dead member is remembered.
     * @param limit The largest number of dead members that are remembered.
     * @return The members' names.
     */
    List<NodeName> expiredDeaths(MonotonicTime now, Duration time, int limit) {
        List<Timer> oldestFirst =
                dead.view().stream().sorted(Comparator.comparing(Timer::since)).toList();
        int excess = Math.max(0, oldestFirst.size() - limit);
        return oldestFirst.stream()
                .filter(timer -> timer.hasRun(now, time) || oldestFirst.indexOf(timer) < excess)
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
         * Returns whether the timer has run for some time.
         *
         * @param now The current time.
         * @param time The time.
         * @return {@code true} if the timer has run for at least this time.
         */
        boolean hasRun(MonotonicTime now, Duration time) {
            return now.since(since).compareTo(time) >= 0;
        }
    }
}
