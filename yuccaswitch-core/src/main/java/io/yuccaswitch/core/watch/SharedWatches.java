package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import java.time.Duration;
import java.util.Optional;

/** Creates the shared watches of one node, which use one view of the nodes that watch. */
public final class SharedWatches {

    /** The nodes of the site. */
    private final MembershipView membership;

    /** What is known of the nodes that watch. */
    private final WatcherContacts contacts = new WatcherContacts();

    /** How old what is known of the kinds is. */
    private final KindAges ages = new KindAges();

    /** Whether the kind that notices a lost node was created. */
    private boolean probed;

    /**
     * Creates a node's watches.
     *
     * @param membership The nodes of the site.
     */
    public SharedWatches(MembershipView membership) {
        this.membership = membership;
    }

    /**
     * Creates the watch of a kind. The first one notices lost nodes for all.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Hands out the tokens of calls.
     * @param gathering The pause after an answer of the platform that gathers further changes into the next one.
     * @return The watch.
     */
    public SharedKindWatch watch(String kind, PlatformPurpose purpose, PlatformTokens tokens, Duration gathering) {
        return watch(kind, purpose, tokens, gathering, Optional.empty());
    }

    /**
     * Creates the watch of a kind of which nothing known may grow older than a bound where the platform answers.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Hands out the tokens of calls.
     * @param gathering The pause after an answer of the platform that gathers further changes into the next one.
     * @param greatestAge The age at which what is known is confirmed at the platform.
     * @return The watch.
     */
    public SharedKindWatch watchWithin(
            String kind, PlatformPurpose purpose, PlatformTokens tokens, Duration gathering, Duration greatestAge) {
        return watch(kind, purpose, tokens, gathering, Optional.of(greatestAge));
    }

    /**
     * Creates a watch.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Hands out the tokens of calls.
     * @param gathering The pause after an answer of the platform that gathers further changes into the next one.
     * @param greatestAge The age at which what is known is confirmed at the platform, if it may not be of any age.
     * @return The watch.
     */
    private SharedKindWatch watch(
            String kind,
            PlatformPurpose purpose,
            PlatformTokens tokens,
            Duration gathering,
            Optional<Duration> greatestAge) {
        WatchFollower follower = new WatchFollower(kind, contacts, ages, !probed);
        probed = true;
        SharedKindWatch watch = new SharedKindWatch(
                kind, purpose, tokens, gathering, greatestAge, new WatchRoles(membership), follower, ages);
        ages.add(watch);
        return watch;
    }
}
