package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.CallBackoff;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.KindWatch;
import io.yuccaswitch.core.platform.ObjectFilter;
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
 * follow one of them. A node whose watcher does not answer, or has lost contact with the platform, calls the platform
 * itself immediately, so that changes are delayed by the time it takes to detect this and not by the duration of an
 * outage elsewhere.
 */
public final class SharedKindWatch implements KindFeed {

    /**
     * How long the platform holds a call to wait for changes. A network partition is detected shortly after this time.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(700);

    /** The first delay before a follower calls the platform again after a failure. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(300);

    /** The longest such delay. Watchers call more often, and notify the others when the platform is reachable again. */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(1500);

    /** The kind. */
    private final String kind;

    /** The watch at the platform. */
    private final KindWatch platformWatch;

    /** This node's copy of the objects. */
    private final KindReplica replica;

    /** Selects the watchers. */
    private final WatchRoles roles;

    /** Requests changes from a watcher. */
    private final WatchFollower follower;

    /** Answers the followers of this node. */
    private final WatchServer server;

    /** Delays the calls of a follower to the platform after a failure. */
    private final CallBackoff backoff = new CallBackoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF);

    /** Confirms this node's state at the platform where other nodes can't. */
    private final KindConfirmation confirmation;

    /** The age at which this node's state is confirmed at the platform, or empty if its age is not bounded. */
    private final Optional<Duration> maximumAge;

    /** The ages that watchers report for all kinds. */
    private final KindAges ages;

    /**
     * Whether the latest request brought no answer that is backed by contact with the platform, such that this node's
     * state has to be confirmed in another way.
     */
    private boolean unconfirmed = true;

    /** Since when a watcher is known to have changes that this node lacks. */
    private Optional<MonotonicTime> laggingSince = Optional.empty();

    /** This node's version when it last called the platform for changes. */
    private long requestedAfter = WatchMessage.UNKNOWN_VERSION;

    /** The latest time as of which this node's state is guaranteed to be complete. */
    private Optional<MonotonicTime> confirmedAt = Optional.empty();

    /**
     * Creates a watch without any state.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param filter Selects the objects that have to be held.
     * @param tokens Allocates the tokens of calls.
     * @param batchingDelay The delay after an answer of the platform, which batches further changes into the next one.
     * @param maximumAge The age at which this node's state is confirmed at the platform, or empty if its age is not
     *     bounded.
     * @param roles Selects the watchers.
     * @param follower Requests changes from a watcher.
     * @param ages The ages that watchers report for all kinds.
     */
    SharedKindWatch(
            String kind,
            PlatformPurpose purpose,
            ObjectFilter filter,
            PlatformTokens tokens,
            Duration batchingDelay,
            Optional<Duration> maximumAge,
            WatchRoles roles,
            WatchFollower follower,
            KindAges ages) {
        this.kind = kind;
        this.ages = ages;
        replica = new KindReplica(filter);
        platformWatch = new KindWatch(kind, purpose, filter, tokens, batchingDelay, WATCH_TIMEOUT);
        confirmation = new KindConfirmation(kind, purpose, filter, tokens);
        this.maximumAge = maximumAge;
        this.roles = roles;
        this.follower = follower;
        server = new WatchServer(kind, replica, platformWatch, this::confirmedAt, ages);
    }

    @Override
    public Optional<Changes> run(Tick tick) {
        tick.events(Suspended.class).forEach(event -> suspended(event.gap()));
        Optional<Changes> changes = Stream.of(
                        processPlatformAnswer(tick), processRelayedAnswer(tick), processConfirmation(tick))
                .<Changes>mapMulti(Optional::ifPresent)
                .reduce(Changes::mergedWith);
        processReportedAge(tick);
        server.run(tick);
        if (!follower.isWaiting()) {
            request(tick);
        }
        confirmIfNeeded(tick);
        return changes;
    }

    @Override
    public Optional<MonotonicTime> confirmedAt() {
        return confirmedAt;
    }

    @Override
    public boolean isPlatformUnreachable(MonotonicTime now) {
        return confirmation.isPlatformUnreachable(now);
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
     * Returns the version of the latest change that this node has received.
     *
     * @return The version, or {@link WatchMessage#UNKNOWN_VERSION}.
     */
    long changedAt() {
        return replica.changedAt();
    }

    /**
     * Adjusts all times after the VM was suspended, while its clock stopped.
     *
     * @param gap How long the VM was suspended.
     */
    private void suspended(Duration gap) {
        confirmedAt = confirmedAt.map(at -> at.plus(gap.negated()));
        platformWatch.suspended(gap);
        confirmation.suspended(gap);
        ages.suspended();
        follower.suspended(gap);
    }

    /**
     * Records that this node's state was complete as of a time.
     *
     * @param at The time, or empty if it is unknown.
     */
    private void confirm(Optional<MonotonicTime> at) {
        confirmedAt = Stream.concat(confirmedAt.stream(), at.stream()).max(Comparator.naturalOrder());
    }

    /**
     * Processes the platform's answer to the call for changes, if it arrived.
     *
     * @param tick The tick.
     * @return The changes that this node did not have.
     */
    private Optional<Changes> processPlatformAnswer(Tick tick) {
        if (!platformWatch.isCalling()) {
            return Optional.empty();
        }
        Optional<Changes> changes = platformWatch.receive(tick);
        if (platformWatch.isCalling()) {
            return changes;
        }
        unconfirmed = !platformWatch.isInContact(tick.now());
        if (unconfirmed) {
            backoff.failed(tick);
        } else {
            backoff.succeeded(tick.now(), Duration.ZERO);
        }
        Optional<Changes> applied = changes.flatMap(
                found -> apply(found, requestedAfter, platformWatch.version().orElseThrow()));
        confirm(platformWatch.confirmedAt());
        return applied;
    }

    /**
     * Processes the answer of a watcher, if it arrived.
     *
     * @param tick The tick.
     * @return The changes that this node did not have.
     */
    private Optional<Changes> processRelayedAnswer(Tick tick) {
        Optional<WatchFollower.Outcome> outcome = follower.receive(tick);
        if (outcome.isEmpty()) {
            return Optional.empty();
        }
        unconfirmed = !outcome.get().inContact();
        Optional<Changes> changes = outcome.get()
                .changes()
                .flatMap(answer -> apply(
                        new Changes(answer.objects(), answer.complete()),
                        outcome.get().version(),
                        answer.version()));
        confirm(outcome.get().confirmedAt());
        return changes;
    }

    /**
     * Processes the answer to the confirmation call, if it arrived.
     *
     * @param tick The tick.
     * @return The changes that this node did not have.
     */
    private Optional<Changes> processConfirmation(Tick tick) {
        Optional<KindConfirmation.Answer> answer = confirmation.receive(tick);
        if (answer.isEmpty()) {
            return Optional.empty();
        }
        unconfirmed = false;
        Optional<Changes> changes = apply(
                answer.get().changes(),
                answer.get().afterVersion(),
                answer.get().upTo());
        confirm(Optional.of(answer.get().confirmedAt()));
        return changes;
    }

    /**
     * Processes the age that a watcher reported for its state. If the watcher is ahead of this node for longer than a
     * message takes, its answer was lost, and the changes are requested again.
     *
     * @param tick The tick.
     */
    private void processReportedAge(Tick tick) {
        Optional<KindAges.Report> report = ages.report(kind);
        if (report.isEmpty()) {
            return;
        }
        if (replica.version() >= report.get().changedAt()) {
            laggingSince = Optional.empty();
            confirm(Optional.of(report.get().confirmedAt()));
            return;
        }
        MonotonicTime since = laggingSince.orElseGet(tick::now);
        laggingSince = Optional.of(since);
        if (tick.now().since(since).compareTo(WatchFollower.DELIVERY_TIMEOUT) > 0) {
            laggingSince = Optional.empty();
            follower.abandon();
        }
    }

    /**
     * Applies all objects, or changes. Answers arrive on several paths, so changes that this node already has are
     * dropped.
     *
     * @param changes All objects, or the changed ones.
     * @param afterVersion The version after which the objects changed, unless these are all objects.
     * @param upTo The version up to which this update is complete.
     * @return The changes that this node did not have.
     */
    private Optional<Changes> apply(Changes changes, long afterVersion, long upTo) {
        long replicaVersion = replica.version();
        if (upTo <= replicaVersion) {
            platformWatch.resumeAfter(replicaVersion);
            return Optional.empty();
        }
        Changes fresh =
                changes.complete() || afterVersion >= replicaVersion ? changes : changes.changesAfter(replicaVersion);
        replica.apply(fresh, upTo);
        platformWatch.resumeAfter(upTo);
        return Optional.of(fresh);
    }

    /**
     * Requests the next changes: from the platform if this node is a watcher or has no state yet, else from a watcher.
     * A watcher that gets no answer requests them from another node as well, as the platform may fail for this node
     * alone.
     *
     * @param tick The tick.
     */
    private void request(Tick tick) {
        MonotonicTime now = tick.now();
        boolean initialCall = unconfirmed && !hasState() && backoff.allows(now);
        if (roles.isWatcher() || initialCall) {
            callPlatform(tick);
        }
        if (!needsOtherNodes(now)) {
            return;
        }
        Optional<NodeName> other = follower.choose(roles.watchers(), now)
                .or(() -> follower.choose(
                        isOverdue(now) || isPlatformUnreachable(now) ? roles.fallbackNodes() : List.of(), now));
        if (other.isPresent()) {
            follower.request(tick, other.get(), replica.version(), unconfirmed);
        } else if (backoff.allows(now)) {
            callPlatform(tick);
        }
    }

    /**
     * Returns whether this node depends on other nodes for changes: a follower always does, unless it calls the
     * platform, and a watcher does while the platform does not answer.
     *
     * @param now The current time.
     * @return {@code true} if it does.
     */
    private boolean needsOtherNodes(MonotonicTime now) {
        return isOverdue(now) || (roles.isWatcher() ? unconfirmed : !platformWatch.isCalling());
    }

    /**
     * Returns whether the answer to the pending call for changes is overdue.
     *
     * @param now The current time.
     * @return {@code true} if it is.
     */
    private boolean isOverdue(MonotonicTime now) {
        return platformWatch.isCalling() && !platformWatch.isInContact(now);
    }

    /**
     * Calls the platform for changes. A call shortly after changes is held for less time, as only its answer confirms
     * that there were no further ones.
     *
     * @param tick The tick.
     */
    private void callPlatform(Tick tick) {
        if (platformWatch.isCalling()) {
            return;
        }
        Optional<Duration> age = confirmedAt.map(tick.now()::since);
        Duration wait = maximumAge
                .filter(_bound -> age.isPresent())
                .map(bound -> bound.minus(follower.relayDelay()).minus(age.get()))
                .orElse(WATCH_TIMEOUT);
        requestedAfter = replica.version();
        platformWatch.callIfDue(tick, wait.isNegative() ? Duration.ZERO : wait);
    }

    /**
     * Confirms this node's state at the platform if it is stale or the watchers have no contact with the platform.
     *
     * @param tick The tick.
     */
    private void confirmIfNeeded(Tick tick) {
        boolean stale = confirmedAt.isPresent()
                && maximumAge
                        .filter(bound -> tick.now().since(confirmedAt.get()).compareTo(bound) > 0)
                        .isPresent();
        boolean retry = unconfirmed && !roles.isWatcher() && backoff.allows(tick.now());
        if (hasState() && (stale || retry)) {
            confirmation.request(tick, replica.version());
        }
    }

    /**
     * Returns whether this node has any state of the objects.
     *
     * @return {@code true} if it has.
     */
    private boolean hasState() {
        return replica.version() != WatchMessage.UNKNOWN_VERSION;
    }
}
