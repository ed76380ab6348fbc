package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The state at a node of whether an endpoint is leaving. An incarnation that was reported as leaving never reverts, so
 * the order of updates does not matter. The exception is the platform's list, which names VMs rather than incarnations:
 * a listing is assumed to refer to the incarnation at that time, and is dropped when the list shows the VM as not
 * leaving at least {@link #LISTING_VALIDITY} after the listing was last observed.
 *
 * @param incarnations The latest incarnations that reported themselves as leaving.
 * @param unspecified {@code true} if the endpoint was reported as leaving without an incarnation and before any
 *     incarnation was known.
 * @param listing The platform's listing of the endpoint's VM as leaving, or empty if there is none.
 */
record LeavingState(List<String> incarnations, boolean unspecified, Optional<Listing> listing) {

    /** The state of an endpoint that was never reported as leaving. */
    static final LeavingState EMPTY = new LeavingState(List.of(), false, Optional.empty());

    /**
     * The time since a listing was last observed for which it stays valid although the list shows the VM as not
     * leaving.
     */
    static final Duration LISTING_VALIDITY = Duration.ofSeconds(15);

    /** The maximum lag of the list, after which it no longer refers to an incarnation that was replaced. */
    static final Duration MAXIMUM_LIST_LAG = Duration.ofSeconds(30);

    /** The maximum number of leaving incarnations that are retained. */
    private static final int MAXIMUM_INCARNATIONS = 4;

    /** Copies the list. */
    LeavingState {
        incarnations = List.copyOf(incarnations);
    }

    /**
     * Returns whether an endpoint is leaving.
     *
     * @param current The endpoint's incarnation, or empty if it is not known.
     * @return {@code true} if the incarnation is leaving.
     */
    boolean covers(Optional<String> current) {
        boolean reported = current.map(incarnations::contains).orElse(unspecified);
        return reported || listing.map(found -> found.covers(current)).orElse(false);
    }

    /**
     * Returns this state after the endpoint reported itself as leaving, directly or through another source.
     *
     * @param incarnation The incarnation that is leaving, or an empty string if the source does not specify it.
     * @param current The endpoint's incarnation, or empty if it is not known.
     * @return The changed state.
     */
    LeavingState withLeaving(String incarnation, Optional<String> current) {
        Optional<String> affected = incarnation.isEmpty() ? current : Optional.of(incarnation);
        if (affected.isEmpty()) {
            return new LeavingState(incarnations, true, listing);
        }
        if (incarnations.contains(affected.get())) {
            return this;
        }
        List<String> extended = new ArrayList<>(incarnations);
        extended.add(affected.get());
        int surplus = Math.max(0, extended.size() - MAXIMUM_INCARNATIONS);
        return new LeavingState(extended.subList(surplus, extended.size()), unspecified, listing);
    }

    /**
     * Returns this state after the endpoint's incarnation became known. An earlier report without an incarnation is
     * attributed to this one.
     *
     * @param incarnation The incarnation.
     * @return The changed state.
     */
    LeavingState withIncarnation(String incarnation) {
        LeavingState resolved = unspecified
                ? new LeavingState(incarnations, false, listing).withLeaving(incarnation, Optional.empty())
                : this;
        return resolved.withListing(resolved.listing.map(found -> found.withIncarnation(incarnation)));
    }

    /**
     * Returns this state after the platform listed the VM as leaving.
     *
     * @param now The current time.
     * @param current The endpoint's incarnation, or empty if it is not known.
     * @return The changed state.
     */
    LeavingState withListed(MonotonicTime now, Optional<String> current) {
        Listing initial = new Listing(now, current, Optional.empty());
        return withListing(Optional.of(
                listing.map(found -> found.observedAgain(now, current)).orElse(initial)));
    }

    /**
     * Returns this state after the platform listed the VM as not leaving.
     *
     * @param now The current time.
     * @return The changed state.
     */
    LeavingState withNotListed(MonotonicTime now) {
        return withListing(listing.filter(found -> now.since(found.lastSeen()).compareTo(LISTING_VALIDITY) < 0));
    }

    /**
     * Returns this state with another listing.
     *
     * @param changed The new listing.
     * @return The changed state.
     */
    private LeavingState withListing(Optional<Listing> changed) {
        return new LeavingState(incarnations, unspecified, changed);
    }

    /**
     * An entry of the platform's list that shows an endpoint's VM as leaving.
     *
     * @param lastSeen The time at which this listing was last observed.
     * @param incarnation The incarnation that the listing refers to, or empty if none was known.
     * @param replacedSince The time since which the VM is listed although another incarnation is running, or empty.
     */
    record Listing(MonotonicTime lastSeen, Optional<String> incarnation, Optional<MonotonicTime> replacedSince) {

        /**
         * Returns whether this listing refers to an incarnation.
         *
         * @param current The endpoint's incarnation, or empty if it is not known.
         * @return {@code true} if this listing refers to it.
         */
        boolean covers(Optional<String> current) {
            return incarnation.isEmpty() || incarnation.equals(current);
        }

        /**
         * Returns this listing after it was observed again. As the list lags, the listing still refers to the same
         * incarnation, unless another incarnation has been running for {@link LeavingState#MAXIMUM_LIST_LAG} or longer.
         *
         * @param now The current time.
         * @param current The endpoint's incarnation, or empty if it is not known.
         * @return The changed listing.
         */
        Listing observedAgain(MonotonicTime now, Optional<String> current) {
            if (covers(current)) {
                return new Listing(now, incarnation, Optional.empty());
            }
            MonotonicTime since = replacedSince.orElse(now);
            if (now.since(since).compareTo(MAXIMUM_LIST_LAG) >= 0) {
                return new Listing(now, current, Optional.empty());
            }
            return new Listing(now, incarnation, Optional.of(since));
        }

        /**
         * Returns this listing after the endpoint's incarnation became known.
         *
         * @param reportedIncarnation The incarnation.
         * @return The changed listing.
         */
        Listing withIncarnation(String reportedIncarnation) {
            return incarnation.isPresent()
                    ? this
                    : new Listing(lastSeen, Optional.of(reportedIncarnation), replacedSince);
        }
    }
}
