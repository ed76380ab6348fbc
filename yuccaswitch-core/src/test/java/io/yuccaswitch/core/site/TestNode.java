package io.yuccaswitch.core.site;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.decision.TickResult;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.suspension.Suspended;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

/** A single core with simulated events and a simulated clock. */
public final class TestNode implements MembershipView {

    private final TestSite site;
    private final String name;
    private final DecisionCore core;
    private final List<Event> inbox = new ArrayList<>();
    private final List<AnswerInTransit> answersInTransit = new ArrayList<>();
    private final Map<PlatformEffect, MonotonicTime> pendingCalls = new LinkedHashMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private final List<Decision> decisions = new ArrayList<>();
    private boolean frozen;
    private Optional<MonotonicTime> suspendedAt = Optional.empty();
    private Duration clockLag = Duration.ZERO;

    TestNode(TestSite site, String name, BiFunction<TestNode, PlatformTokens, List<DecisionSystem>> systems) {
        this.site = site;
        this.name = name;
        core = new DecisionCore(systems.apply(this, new PlatformTokens()), name.hashCode());
    }

    /** Returns the name. */
    public String name() {
        return name;
    }

    /** Adds an event for the next tick of the core. */
    public void accept(Event event) {
        inbox.add(event);
    }

    /** Stops or resumes the ticks of the node. */
    public void freeze(boolean state) {
        frozen = state;
    }

    /** Removes and returns the recorded effects of a type. */
    public <T extends Effect> List<T> take(Class<T> type) {
        List<T> taken = new ArrayList<>();
        effects.removeIf(effect -> type.isInstance(effect) && taken.add(type.cast(effect)));
        return taken;
    }

    /** Returns all recorded decisions. */
    public List<Decision> decisions() {
        return decisions;
    }

    /** Suspends the VM: its monotonic clock stops until it is resumed. */
    public void suspend() {
        suspendedAt = Optional.of(site.now());
    }

    /** Resumes the VM, which detects the suspension by its time of day. */
    public void resume() {
        Duration gap = site.now().since(suspendedAt.orElseThrow());
        clockLag = clockLag.plus(gap);
        suspendedAt = Optional.empty();
        inbox.add(0, new Suspended(gap));
    }

    void step(MonotonicTime siteTime) {
        executeCalls(siteTime);
        if (frozen || suspendedAt.isPresent()) {
            return;
        }
        MonotonicTime now = siteTime.plus(clockLag.negated());
        List<Event> events = takeArrivedEvents(siteTime);
        TickResult result = core.tick(now, events);
        decisions.addAll(result.decisions());
        for (Effect effect : result.effects()) {
            if (effect instanceof PlatformEffect call) {
                pendingCalls.put(call, siteTime);
            } else {
                effects.add(effect);
                site.transmit(name, effect);
            }
        }
    }

    /** Executes calls at the platform, regardless of whether the node is running. */
    private void executeCalls(MonotonicTime siteTime) {
        SharedPlatform platform = site.platform();
        if (platform.isSilent(name)) {
            return;
        }
        for (PlatformEffect call : List.copyOf(pendingCalls.keySet())) {
            if (platform.isReady(name, call) || isWatchExpired(call, siteTime)) {
                pendingCalls.remove(call);
                answersInTransit.add(
                        new AnswerInTransit(platform.answer(name, call), siteTime.plus(platform.delay(name))));
            }
        }
    }

    /** Removes and returns the events that have arrived. */
    private List<Event> takeArrivedEvents(MonotonicTime siteTime) {
        answersInTransit.removeIf(answer -> !siteTime.isBefore(answer.due()) && inbox.add(answer.event()));
        List<Event> events = List.copyOf(inbox);
        inbox.clear();
        return events;
    }

    /** Returns whether the wait time of a watch is over. */
    private boolean isWatchExpired(PlatformEffect call, MonotonicTime now) {
        return call instanceof PlatformEffect.Watch watch
                && watch.watchTimeout()
                        .filter(wait -> now.since(pendingCalls.get(call)).compareTo(wait) >= 0)
                        .isPresent();
    }

    @Override
    public Member self() {
        return site.member(name);
    }

    @Override
    public Collection<Member> working() {
        return site.workingAsSeenBy(name);
    }

    @Override
    public Optional<Member> find(NodeName wanted) {
        return working().stream()
                .filter(member -> member.identity().name().equals(wanted))
                .findFirst()
                .or(() -> site.leaving(wanted));
    }

    /** An answer in transit. */
    private record AnswerInTransit(Event event, MonotonicTime due) {}

    static Member member(String name) {
        return new Member(
                new NodeIdentity(new NodeName(name), 1),
                new AvailabilityZone("zone-a"),
                "region",
                name + ":1",
                name + ":2",
                name + ":3",
                MemberCondition.ALIVE);
    }
}
