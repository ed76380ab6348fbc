package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Brings all objects of one kind, and then their changes. */
public interface KindFeed {

    /**
     * Takes what arrived with a tick, and asks for more when that is due.
     *
     * @param tick The tick.
     * @return What is new, if anything arrived.
     */
    Optional<News> run(Tick tick);

    /**
     * Returns the latest time at which the platform surely held nothing of the kind beyond what this node knows. The
     * age of what is known counts from there, whatever way it came.
     *
     * @return The time, or empty before anything is known.
     */
    Optional<MonotonicTime> confirmedAt();

    /**
     * Returns whether the platform does not answer this node. It is asked before what is known grows too old.
     *
     * @param now The present.
     * @return {@code true} if the latest call made for that has failed, or its answer is overdue.
     */
    boolean isPlatformAway(MonotonicTime now);

    /**
     * What an answer brought.
     *
     * @param objects The objects, in the order of their changes. Deleted ones say so.
     * @param complete {@code true} if these are all objects there are, {@code false} if they are changes.
     */
    record News(List<StoredObject> objects, boolean complete) {

        /**
         * Returns these changes without those up to a version.
         *
         * @param version The version.
         * @return The later changes.
         */
        public News behind(long version) {
            return new News(
                    objects.stream()
                            .filter(object -> object.version() > version)
                            .toList(),
                    complete);
        }

        /**
         * Returns this news with what came after it.
         *
         * @param later What came later.
         * @return Both.
         */
        public News followedBy(News later) {
            if (later.complete()) {
                return later;
            }
            return new News(
                    Stream.concat(objects.stream(), later.objects().stream()).toList(), complete);
        }
    }
}
