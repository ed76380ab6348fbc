package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.core.weight.WeightEvent;
import java.util.List;
import java.util.Optional;

/**
 * The systems that carry samples from their submission to their hand-over. A core lists {@link #beforeRequests()}
 * before the request path, to which it hands generations, and {@link #afterRequests()} after it, which takes their
 * outcomes. Both stand after the systems of configuration, membership, endpoints and weights, whose events they read.
 */
public final class SampleSystem {

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final FlightTable flights = new FlightTable();

    /** Begins generations. */
    private final ScheduleSystem schedule;

    /** Knows what trainers have taken. */
    private final CursorSystem cursors;

    /** The parts that take messages, in the order in which they run. */
    private final List<SampleMessageHandler> handlers;

    /**
     * Creates new systems.
     *
     * @param membership The members.
     * @param tokens Hands out the tokens of calls to the platform.
     * @param clock The clock that counts the windows of request ids.
     */
    public SampleSystem(MembershipView membership, PlatformTokens tokens, RequestClock clock) {
        this(membership, tokens, clock, SchedulePolicy.Layered.ALL);
    }

    /**
     * Creates new systems with a policy.
     *
     * @param membership The members.
     * @param tokens Hands out the tokens of calls to the platform.
     * @param clock The clock that counts the windows of request ids.
     * @param policy The order in which samples are begun.
     */
    public SampleSystem(MembershipView membership, PlatformTokens tokens, RequestClock clock, SchedulePolicy policy) {
        context = new SampleContext(membership, tokens);
        PoolWindow window = new PoolWindow(context);
        LengthEstimate lengths = new LengthEstimate();
        schedule = new ScheduleSystem(context, flights, window, lengths, policy, clock);
        cursors = new CursorSystem(context, flights);
        HolderSystem holders = new HolderSystem(context, flights);
        handlers = List.of(
                new SubmissionSystem(context),
                new ScoringSystem(context, flights),
                new GenerationSystem(context, flights, window, lengths, holders),
                holders,
                new KeeperSystem(context),
                cursors,
                new HandOverSystem(context, cursors),
                new PullSystem(context));
    }

    /**
     * Returns the system that begins generations and scorings, to be listed before the request path.
     *
     * @return The system.
     */
    public DecisionSystem beforeRequests() {
        return schedule;
    }

    /**
     * Returns the system that does all the rest, to be listed after the request path.
     *
     * @return The system.
     */
    public DecisionSystem afterRequests() {
        return this::run;
    }

    /**
     * Reports what this node does for trainers. This method must be called on the thread that ticks.
     *
     * @return The report.
     */
    public SampleReport report() {
        return context.statistics.report(context);
    }

    /**
     * Returns whether this node holds a group as its driver or backup.
     *
     * @param key The identity of the group.
     * @return {@code true} if this node holds the group.
     */
    public boolean holds(GroupKey key) {
        return context.held.contains(key);
    }

    /**
     * Returns whether no other node takes work, such that nothing can be handed off.
     *
     * @return {@code true} if this node is the last one.
     */
    public boolean isLast() {
        return context.roles.others(context.roles.working()).isEmpty();
    }

    /**
     * Returns whether other nodes hold all that this one held, such that it may stop. It never becomes true while this
     * node itself takes work, as far as its members know.
     *
     * @return {@code true} if nothing would be lost with this node.
     */
    public boolean handedOff() {
        return context.held.size() == 0 && context.kept.size() == 0 && cursors.handedOff();
    }

    /**
     * Runs all parts for one tick.
     *
     * @param tick The current tick.
     */
    private void run(Tick tick) {
        for (WeightEvent.PublicationSafe event : tick.events(WeightEvent.PublicationSafe.class)) {
            tick.emit(new PublicationEffect.Safe(event.trainer(), event.version()));
        }
        for (WeightEvent.PublicationRefused event : tick.events(WeightEvent.PublicationRefused.class)) {
            tick.emit(new PublicationEffect.Refused(event.trainer(), event.version(), event.newestVersion()));
        }
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof SampleMessage message) {
                dispatch(tick, event.sender(), message);
            }
        }
        dispatchLocal(tick);
        for (SampleMessageHandler handler : handlers) {
            handler.run(tick);
            dispatchLocal(tick);
        }
    }

    /**
     * Gives the messages to this node itself to all parts.
     *
     * @param tick The current tick.
     */
    private void dispatchLocal(Tick tick) {
        for (Optional<SampleMessage> message = context.outbox.takeLocal();
                message.isPresent();
                message = context.outbox.takeLocal()) {
            dispatch(tick, context.self(), message.get());
        }
    }

    /**
     * Gives a message to all parts.
     *
     * @param tick The current tick.
     * @param sender The node that sent the message.
     * @param message The message.
     */
    private void dispatch(Tick tick, NodeIdentity sender, SampleMessage message) {
        for (SampleMessageHandler handler : handlers) {
            handler.receive(tick, sender, message);
        }
    }
}
