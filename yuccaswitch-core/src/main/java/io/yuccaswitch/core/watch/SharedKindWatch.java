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
import java.util.List;
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

    /** The kind. */
    private final String kind;

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

    /** Asks the platform where the others do not tell what is so. */
    private final KindConfirmation confirmation;

    /** The age at which what is known is confirmed at the platform, or empty if it may be of any age. */
    private final Optional<Duration> greatestAge;

    /** What the watching nodes tell of all kinds. */
    private final KindAges ages;

    /** Whether what the watching nodes say is not enough, such that the platform has to be asked. */
    private boolean doubtful = true;

    /** Since when a watching node is known to know more than this one. */
    private Optional<MonotonicTime> behindSince = Optional.empty();

    /** The version that was known when the platform was last asked for changes. */
    private long askedBehind = WatchMessage.UNKNOWN_VERSION;

    /** When the platform surely held nothing beyond what this node knows. */
    private Optional<MonotonicTime> confirmedAt = Optional.empty();

    /**
     * Creates a watch that knows nothing yet.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Hands out the tokens of calls.
     * @param gathering The pause after an answer of the platform that gathers further changes into the next one.
     * @param greatestAge The age at which what is known is confirmed at the platform, or empty if it may be of any age.
     * @param roles Which nodes watch.
     * @param follower Asks the watching nodes.
     * @param ages What the watching nodes tell of all kinds.
     */
    SharedKindWatch(
            String kind,
            PlatformPurpose purpose,
            PlatformTokens tokens,
            Duration gathering,
            Optional<Duration> greatestAge,
            WatchRoles roles,
            WatchFollower follower,
            KindAges ages) {
        this.kind = kind;
        this.ages = ages;
        direct = new KindWatch(kind, purpose, tokens, gathering, WAIT_TIME);
        confirmation = new KindConfirmation(kind, purpose, tokens);
        this.greatestAge = greatestAge;
        this.roles = roles;
        this.follower = follower;
        server = new WatchServer(kind, replica, direct, this::confirmedAt, ages);
    }

    @Override
    public Optional<News> run(Tick tick) {
        tick.events(Suspended.class).forEach(event -> suspended(event.gap()));
        Optional<News> news = Stream.of(takeDirect(tick), takeRelayed(tick), takeConfirmation(tick))
                .<News>mapMulti(Optional::ifPresent)
                .reduce(News::followedBy);
        takeAge(tick);
        server.run(tick);
        if (!follower.isWaiting()) {
            ask(tick);
        }
        confirmIfNeeded(tick);
        return news;
    }

    @Override
    public Optional<MonotonicTime> confirmedAt() {
        return confirmedAt;
    }

    @Override
    public boolean isPlatformAway(MonotonicTime now) {
        return confirmation.isPlatformAway(now);
    }

    /**
     * Returns the kind.
     *
     * @return The kind.
     */
    String kind() {
        return kind;
    }

    /**
     * Returns the version of the latest change that is known.
     *
     * @return The version, or {@link WatchMessage#UNKNOWN_VERSION}.
     */
    long changedAt() {
        return replica.changedAt();
    }

    /**
     * Takes note that the machine was suspended, such that its clock stood still meanwhile.
     *
     * @param gap How long it was.
     */
    private void suspended(Duration gap) {
        confirmedAt = confirmedAt.map(at -> at.plus(gap.negated()));
        direct.suspended(gap);
        confirmation.suspended(gap);
        ages.suspended();
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
        if (!direct.isCalling()) {
            return Optional.empty();
        }
        Optional<News> news = direct.answer(tick);
        if (direct.isCalling()) {
            return news;
        }
        doubtful = !direct.isInContact(tick.now());
        if (doubtful) {
            backOff.failed(tick);
        } else {
            backOff.succeeded(tick.now(), Duration.ZERO);
        }
        Optional<News> taken =
                news.flatMap(found -> take(found, askedBehind, direct.version().orElseThrow()));
        confirm(direct.confirmedAt());
        return taken;
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
        Optional<News> news = outcome.get()
                .changes()
                .flatMap(changes -> take(
                        new News(changes.objects(), changes.complete()),
                        outcome.get().version(),
                        changes.version()));
        confirm(outcome.get().confirmedAt());
        return news;
    }

    /**
     * Takes the answer to the call that confirms what is known, if it arrived.
     *
     * @param tick The tick.
     * @return What is new.
     */
    private Optional<News> takeConfirmation(Tick tick) {
        Optional<KindConfirmation.Answer> answer = confirmation.receive(tick);
        if (answer.isEmpty()) {
            return Optional.empty();
        }
        doubtful = false;
        Optional<News> news =
                take(answer.get().news(), answer.get().behind(), answer.get().upTo());
        confirm(Optional.of(answer.get().confirmedAt()));
        return news;
    }

    /**
     * Takes what a watching node told of the age of what it knows. Where it knows more than this node for longer than a
     * message takes, its answer is lost, and it is asked anew.
     *
     * @param tick The tick.
     */
    private void takeAge(Tick tick) {
        Optional<KindAges.Told> told = ages.told(kind);
        if (told.isEmpty()) {
            return;
        }
        if (replica.version() >= told.get().changedAt()) {
            behindSince = Optional.empty();
            confirm(Optional.of(told.get().confirmedAt()));
            return;
        }
        MonotonicTime since = behindSince.orElseGet(tick::now);
        behindSince = Optional.of(since);
        if (tick.now().since(since).compareTo(WatchFollower.DELIVERY_TIME) > 0) {
            behindSince = Optional.empty();
            follower.forget();
        }
    }

    /**
     * Takes objects or their changes. Answers come by several ways, so what is older than what is known is left out.
     *
     * @param news The objects.
     * @param behind The version behind which they changed, unless they are all objects.
     * @param upTo The version up to which all changes are known with them.
     * @return What is new.
     */
    private Optional<News> take(News news, long behind, long upTo) {
        long known = replica.version();
        if (upTo <= known) {
            direct.goOnBehind(known);
            return Optional.empty();
        }
        News fresh = news.complete() || behind >= known ? news : news.behind(known);
        replica.take(fresh, upTo);
        direct.goOnBehind(upTo);
        return Optional.of(fresh);
    }

    /**
     * Asks for what comes next: the platform where this node watches or knows nothing yet, else a watching node. One
     * that watches and gets no answer asks another node too, as the platform may fail this one alone.
     *
     * @param tick The tick.
     */
    private void ask(Tick tick) {
        MonotonicTime now = tick.now();
        boolean begins = doubtful && !knowsAnything() && backOff.allows(now);
        if (roles.isWatcher() || begins) {
            callDirect(tick);
        }
        if (!needsOthers(now)) {
            return;
        }
        Optional<NodeName> other = follower.choose(roles.watchers(), now)
                .or(() -> follower.choose(isOverdue(now) || isPlatformAway(now) ? roles.others() : List.of(), now));
        if (other.isPresent()) {
            follower.ask(tick, other.get(), replica.version(), doubtful);
        } else if (backOff.allows(now)) {
            callDirect(tick);
        }
    }

    /**
     * Returns whether other nodes have to tell what is so: always those that watch where this one does not, else where
     * the platform does not answer.
     *
     * @param now The present.
     * @return {@code true} if they have to.
     */
    private boolean needsOthers(MonotonicTime now) {
        return isOverdue(now) || (roles.isWatcher() ? doubtful : !direct.isCalling());
    }

    /**
     * Returns whether the platform should have answered the call that waits there.
     *
     * @param now The present.
     * @return {@code true} if it should have.
     */
    private boolean isOverdue(MonotonicTime now) {
        return direct.isCalling() && !direct.isInContact(now);
    }

    /**
     * Calls the platform for changes. A call that follows changes is answered sooner than others, as it tells only when
     * it is answered that there were no further ones.
     *
     * @param tick The tick.
     */
    private void callDirect(Tick tick) {
        if (direct.isCalling()) {
            return;
        }
        Optional<Duration> age = confirmedAt.map(tick.now()::since);
        Duration wait = greatestAge
                .filter(_bound -> age.isPresent())
                .map(bound -> bound.minus(follower.relayTime()).minus(age.get()))
                .orElse(WAIT_TIME);
        askedBehind = replica.version();
        direct.callIfDue(tick, wait.isNegative() ? Duration.ZERO : wait);
    }

    /**
     * Asks the platform whether what is known still holds, where it has grown old or the watching nodes can't tell.
     *
     * @param tick The tick.
     */
    private void confirmIfNeeded(Tick tick) {
        boolean old = confirmedAt.isPresent()
                && greatestAge
                        .filter(bound -> tick.now().since(confirmedAt.get()).compareTo(bound) > 0)
                        .isPresent();
        boolean doubted = doubtful && !roles.isWatcher() && backOff.allows(tick.now());
        if (knowsAnything() && (old || doubted)) {
            confirmation.ask(tick, replica.version());
        }
    }

    /**
     * Returns whether this node knows the objects as they were at some time.
     *
     * @return {@code true} if it does.
     */
    private boolean knowsAnything() {
        return replica.version() != WatchMessage.UNKNOWN_VERSION;
    }
}
