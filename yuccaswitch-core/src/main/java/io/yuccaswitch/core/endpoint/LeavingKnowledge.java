package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What a node knows about an endpoint's leaving. Knowledge only grows for an incarnation, so the order in which news
 * comes does not matter. The exception is the platform's list, which names VMs and not incarnations: what it says is a
 * guess about the incarnation of that moment, and is dropped once the list has said otherwise for a while.
 *
 * @param incarnations The latest incarnations that are known to leave, from their own word.
 * @param unnamed {@code true} if leaving news without an incarnation came before any incarnation was known.
 * @param listing What the platform's list says, or empty if it does not list the endpoint's VM as leaving.
 */
record LeavingKnowledge(List<String> incarnations, boolean unnamed, Optional<Listing> listing) {

    /** The knowledge about an endpoint of which nothing was heard. */
    static final LeavingKnowledge NOTHING = new LeavingKnowledge(List.of(), false, Optional.empty());

    /** The time for which the list must not have said that the VM is leaving until that counts. */
    static final Duration LISTING_LAPSE = Duration.ofSeconds(15);

    /** The time after which the list can't mean an incarnation any more that was replaced. */
    static final Duration LONGEST_LIST_LAG = Duration.ofSeconds(30);

    /** The number of incarnations that are remembered. */
    private static final int REMEMBERED_INCARNATIONS = 4;

    /** Copies the list. */
    LeavingKnowledge {
        incarnations = List.copyOf(incarnations);
    }

    /**
     * Returns whether an endpoint is leaving.
     *
     * @param current The endpoint's incarnation, or empty if it is not known.
     * @return {@code true} if the incarnation is known to leave.
     */
    boolean covers(Optional<String> current) {
        boolean named = current.map(incarnations::contains).orElse(unnamed);
        return named || listing.map(found -> found.covers(current)).orElse(false);
    }

    /**
     * Returns this knowledge after the endpoint's own word, from whatever messenger.
     *
     * @param incarnation The incarnation that is leaving, or an empty text if the messenger does not know.
     * @param current The endpoint's incarnation, or empty if it is not known.
     * @return The grown knowledge.
     */
    LeavingKnowledge withLeaving(String incarnation, Optional<String> current) {
        Optional<String> meant = incarnation.isEmpty() ? current : Optional.of(incarnation);
        if (meant.isEmpty()) {
            return new LeavingKnowledge(incarnations, true, listing);
        }
        if (incarnations.contains(meant.get())) {
            return this;
        }
        List<String> grown = new ArrayList<>(incarnations);
        grown.add(meant.get());
        int surplus = Math.max(0, grown.size() - REMEMBERED_INCARNATIONS);
        return new LeavingKnowledge(grown.subList(surplus, grown.size()), unnamed, listing);
    }

    /**
     * Returns this knowledge after the endpoint's incarnation became known: news that named none is about this one.
     *
     * @param incarnation The incarnation.
     * @return The changed knowledge.
     */
    LeavingKnowledge withIncarnation(String incarnation) {
        LeavingKnowledge bound = unnamed
                ? new LeavingKnowledge(incarnations, false, listing).withLeaving(incarnation, Optional.empty())
                : this;
        return bound.withListing(bound.listing.map(found -> found.withIncarnation(incarnation)));
    }

    /**
     * Returns this knowledge after the platform's list said that the VM is leaving.
     *
     * @param now The current time.
     * @param current The endpoint's incarnation, or empty if it is not known.
     * @return The changed knowledge.
     */
    LeavingKnowledge withListed(MonotonicTime now, Optional<String> current) {
        Listing fresh = new Listing(now, current, Optional.empty());
        return withListing(
                Optional.of(listing.map(found -> found.seenAgain(now, current)).orElse(fresh)));
    }

    /**
     * Returns this knowledge after the platform's list said that the VM is not leaving.
     *
     * @param now The current time.
     * @return The changed knowledge.
     */
    LeavingKnowledge withNotListed(MonotonicTime now) {
        return withListing(listing.filter(found -> now.since(found.lastSeen()).compareTo(LISTING_LAPSE) < 0));
    }

    /**
     * Returns this knowledge with another listing.
     *
     * @param changed The new listing.
     * @return The changed knowledge.
     */
    private LeavingKnowledge withListing(Optional<Listing> changed) {
        return new LeavingKnowledge(incarnations, unnamed, changed);
    }

    /**
     * What the platform's list says about an endpoint whose VM it lists as leaving.
     *
     * @param lastSeen The time at which the list last said so.
     * @param incarnation The incarnation that is meant, or empty if none was known.
     * @param replacedSince The time since which the list says so although another incarnation is there, or empty.
     */
    record Listing(MonotonicTime lastSeen, Optional<String> incarnation, Optional<MonotonicTime> replacedSince) {

        /**
         * Returns whether an endpoint is meant.
         *
         * @param current The endpoint's incarnation, or empty if it is not known.
         * @return {@code true} if the endpoint is meant.
         */
        boolean covers(Optional<String> current) {
            return incarnation.isEmpty() || incarnation.equals(current);
        }

        /**
         * Returns this listing after the list said it again. It goes on to mean the same incarnation, as the list lags,
         * unless another incarnation has been there for longer than any lag.
         *
         * @param now The current time.
         * @param current The endpoint's incarnation, or empty if it is not known.
         * @return The changed listing.
         */
        Listing seenAgain(MonotonicTime now, Optional<String> current) {
            if (covers(current)) {
                return new Listing(now, incarnation, Optional.empty());
            }
            MonotonicTime since = replacedSince.orElse(now);
            if (now.since(since).compareTo(LONGEST_LIST_LAG) >= 0) {
                return new Listing(now, current, Optional.empty());
            }
            return new Listing(now, incarnation, Optional.of(since));
        }

        /**
         * Returns this listing after the endpoint's incarnation became known.
         *
         * @param known The incarnation.
         * @return The changed listing.
         */
        Listing withIncarnation(String known) {
            return incarnation.isPresent() ? this : new Listing(lastSeen, Optional.of(known), replacedSince);
        }
    }
}
