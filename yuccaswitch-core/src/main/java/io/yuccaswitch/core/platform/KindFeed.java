package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Supplies all objects of one kind, and then their changes. */
public interface KindFeed {

    /**
     * Processes the events of a tick, and requests further changes when that is due.
     *
     * @param tick The tick.
     * @return The changes, if any arrived.
     */
    Optional<Changes> run(Tick tick);

    /**
     * Returns the latest time as of which this node's copy is guaranteed to include every change at the platform. The
     * age of the copy counts from there, whichever path the changes took.
     *
     * @return The time, or empty before the first objects were received.
     */
    Optional<MonotonicTime> confirmedAt();

    /**
     * Returns whether the platform is unreachable from this node. The platform is called for this before this node's
     * copy is stale.
     *
     * @param now The current time.
     * @return {@code true} if the latest call for this has failed, or its answer is overdue.
     */
    boolean isPlatformUnreachable(MonotonicTime now);

    /**
     * The objects of an answer.
     *
     * @param objects The objects, in the order of their changes. Deleted ones are marked as such.
     * @param complete {@code true} if these are all existing objects, {@code false} if they are changes.
     */
    record Changes(List<StoredObject> objects, boolean complete) {

        /**
         * Returns these changes without those up to a version.
         *
         * @param version The version.
         * @return The later changes.
         */
        public Changes changesAfter(long version) {
            return new Changes(
                    objects.stream()
                            .filter(object -> object.version() > version)
                            .toList(),
                    complete);
        }

        /**
         * Returns these changes combined with later ones.
         *
         * @param later The later changes.
         * @return The combined changes.
         */
        public Changes mergedWith(Changes later) {
            if (later.complete()) {
                return later;
            }
            return new Changes(
                    Stream.concat(objects.stream(), later.objects().stream()).toList(), complete);
        }
    }
}
