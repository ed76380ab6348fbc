package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.RequestNumbers;
import io.yuccaswitch.core.platform.ObjectFilter;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import java.time.Duration;
import java.util.Optional;

/** Creates the shared watches of one node, which share its contacts with the watchers. */
public final class SharedWatches {

    /** The nodes of the site. */
    private final MembershipView membership;

    /** This node's contacts with the watchers. */
    private final WatcherContacts contacts = new WatcherContacts();

    /** Allocates the numbers of requests to the watchers. */
    private final RequestNumbers numbers;

    /** The ages that watchers report for all kinds. */
    private final KindAges ages = new KindAges();

    /** Whether the kind that detects lost nodes was created. */
    private boolean probeAssigned;

    /**
     * Creates a node's watches.
     *
     * @param membership The nodes of the site.
     */
    public SharedWatches(MembershipView membership) {
        this.membership = membership;
        numbers = new RequestNumbers(membership.self().identity());
    }

    /**
     * Creates the watch of a kind. The first one detects lost nodes for all kinds.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Allocates the tokens of calls.
     * @param batchingDelay The delay after an answer of the platform, which batches further changes into the next one.
     * @return The watch.
     */
    public SharedKindWatch watch(String kind, PlatformPurpose purpose, PlatformTokens tokens, Duration batchingDelay) {
        return watch(kind, purpose, ObjectFilter.ALL, tokens, batchingDelay, Optional.empty());
    }

    /**
     * Creates the watch of a kind of which only some objects have to be held. Changes of all objects are received, but
     * a list of all objects omits the others.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param filter Selects the objects that have to be held.
     * @param tokens Allocates the tokens of calls.
     * @param batchingDelay The delay after an answer of the platform, which batches further changes into the next one.
     * @return The watch.
     */
    public SharedKindWatch watch(
            String kind, PlatformPurpose purpose, ObjectFilter filter, PlatformTokens tokens, Duration batchingDelay) {
        return watch(kind, purpose, filter, tokens, batchingDelay, Optional.empty());
    }

    /**
     * Creates the watch of a kind whose state must not exceed an age while the platform answers.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Allocates the tokens of calls.
     * @param batchingDelay The delay after an answer of the platform, which batches further changes into the next one.
     * @param maximumAge The age at which this node's state is confirmed at the platform.
     * @return The watch.
     */
    public SharedKindWatch watchWithin(
            String kind, PlatformPurpose purpose, PlatformTokens tokens, Duration batchingDelay, Duration maximumAge) {
        return watch(kind, purpose, ObjectFilter.ALL, tokens, batchingDelay, Optional.of(maximumAge));
    }

    /**
     * Creates a watch.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param filter Selects the objects that have to be held.
     * @param tokens Allocates the tokens of calls.
     * @param batchingDelay The delay after an answer of the platform, which batches further changes into the next one.
     * @param maximumAge The age at which this node's state is confirmed at the platform, or empty if its age is not
     *     bounded.
     * @return The watch.
     */
    private SharedKindWatch watch(
            String kind,
            PlatformPurpose purpose,
            ObjectFilter filter,
            PlatformTokens tokens,
            Duration batchingDelay,
            Optional<Duration> maximumAge) {
        WatchFollower follower = new WatchFollower(kind, numbers, contacts, ages, !probeAssigned);
        probeAssigned = true;
        SharedKindWatch watch = new SharedKindWatch(
                kind, purpose, filter, tokens, batchingDelay, maximumAge, new WatchRoles(membership), follower, ages);
        ages.add(watch);
        return watch;
    }
}
