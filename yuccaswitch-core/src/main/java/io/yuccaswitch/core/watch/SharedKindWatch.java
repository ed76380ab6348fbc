package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.CallBackOff;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.KindWatch;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.suspension.Suspended;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Follows all objects of one kind with few calls to the platform: two nodes of each region watch there, and the others
 * follow one of these. A node whose watching node is silent, or has lost the platform, asks the platform itself at
 * once, so that news is late by the time in which that is noticed and not by the time of an outage elsewhere.
 */
public final class SharedKindWatch implements KindFeed {

    /** How long the platform waits for changes. A cut path to it shows shortly after that. */
    private static final Duration WAIT_TIME = Duration.ofMillis(700);

    /** The first wait before a node that follows calls the platform again after a failure. */
    private static final Duration FIRST_BACK_OFF = Duration.ofMillis(300);

    /** The longest such wait. The watching nodes try more often, and tell the others when the platform is back. */
    private static final Duration LONGEST_BACK_OFF = Duration.ofMillis(1500);

    /** The watch at the platform. */
    private final KindWatch direct;

    /** The objects as this node knows them. */
    private final KindReplica replica = new KindReplica();

    /** Which nodes watch. */
    private final WatchRoles roles;

    /** Asks the watching nodes. */
    private final WatchFollower follower;

    /** Answers the nodes that follow this one. */
    private final WatchServer server;

    /** When a node that follows may call the platform. */
    private final CallBackOff backOff = new CallBackOff(FIRST_BACK_OFF, LONGEST_BACK_OFF);

    /** Whether what the watching nodes say is not enough, such that the platform has to be asked. */
    private boolean doubtful = true;

    /** When the platform surely held nothing beyond what this node knows. */
    private Optional<MonotonicTime> confirmedAt = Optional.empty();

    /**
     * Creates a watch that knows nothing yet.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Hands out the tokens of calls.
     * @param gathering The pause after an answer of the platform that gathers further changes into the next one.
     * @param roles Which nodes watch.
     * @param follower Asks the watching nodes.
     */
    SharedKindWatch(
            String kind,
            PlatformPurpose purpose,
            PlatformTokens tokens,
            Duration gathering,
            WatchRoles roles,
            WatchFollower follower) {
        direct = new KindWatch(kind, purpose, tokens, gathering, WAIT_TIME);
        this.roles = roles;
        this.follower = follower;
        server = new WatchServer(kind, replica, direct, this::confirmedAt);
    }

    @Override
    public Optional<News> run(Tick tick) {
        tick.events(Suspended.class).forEach(event -> suspended(event.gap()));
        Optional<News> news = direct.isCalling() ? takeDirect(tick) : takeRelayed(tick);
        server.run(tick);
        if (!direct.isCalling() && !follower.isWaiting()) {
            ask(tick);
        }
        return news;
    }

    @Override
    public Optional<MonotonicTime> confirmedAt() {
        return confirmedAt;
    }

    /**
     * Takes note that the machine was suspended, such that its clock stood still meanwhile.
     *
     * @param gap How long it was.
     */
    private void suspended(Duration gap) {
        confirmedAt = confirmedAt.map(at -> at.plus(gap.negated()));
        direct.suspended(gap);
        follower.suspended(gap);
    }

    /**
     * Takes note that the platform surely held nothing beyond what this node knows.
     *
     * @param at When.
     */
    private void confirm(Optional<MonotonicTime> at) {
        confirmedAt = Stream.concat(confirmedAt.stream(), at.stream()).max(Comparator.naturalOrder());
    }

    /**
     * Takes the platform's answer, if it arrived.
     *
     * @param tick The tick.
     * @return What is new.
     */
    private Optional<News> takeDirect(Tick tick) {
        Optional<News> news = direct.answer(tick);
        if (direct.isCalling()) {
            return news;
        }
        if (!direct.isInContact(tick.now())) {
            backOff.failed(tick);
        } else {
            backOff.succeeded(tick.now(), Duration.ZERO);
            doubtful = false;
        }
        news.ifPresent(found -> replica.take(found, direct.version().orElseThrow()));
        confirm(direct.confirmedAt());
        return news;
    }

    /**
     * Takes the answer of a watching node, if it arrived.
     *
     * @param tick The tick.
     * @return What is new.
     */
    private Optional<News> takeRelayed(Tick tick) {
        Optional<WatchFollower.Outcome> outcome = follower.receive(tick);
        if (outcome.isEmpty()) {
            return Optional.empty();
        }
        doubtful = !outcome.get().inContact();
        Optional<News> news =
                outcome.get().changes().flatMap(changes -> take(outcome.get().version(), changes));
        confirm(outcome.get().confirmedAt());
        return news;
    }

    /**
     * Takes changes from a watching node, unless it knows less than this node.
     *
     * @param asked The version that the request named.
     * @param changes The changes.
     * @return What is new.
     */
    private Optional<News> take(long asked, WatchMessage.Changes changes) {
        if (changes.version() <= asked) {
            return Optional.empty();
        }
        News news = new News(changes.objects(), changes.complete());
        replica.take(news, changes.version());
        direct.goOnBehind(changes.version());
        return Optional.of(news);
    }

    /**
     * Asks for what comes next: the platform where this node watches or is in doubt, else a watching node.
     *
     * @param tick The tick.
     */
    private void ask(Tick tick) {
        MonotonicTime now = tick.now();
        if (roles.isWatcher() || (doubtful && backOff.allows(now))) {
            direct.callIfDue(tick);
            return;
        }
        Optional<NodeName> watcher = follower.choose(roles.watchers(), now);
        if (watcher.isPresent()) {
            follower.ask(tick, watcher.get(), replica.version());
        } else if (backOff.allows(now)) {
            direct.callIfDue(tick);
        }
    }
}
