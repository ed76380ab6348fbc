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
 * The systems that process samples from their submission to their hand-over. A core runs {@link #beforeRequests()},
 * which submits generations, before the request path, and {@link #afterRequests()}, which processes their outcomes,
 * after it. Both must run after the systems of configuration, membership, endpoints and weights, whose events they
 * read.
 */
public final class SampleSystem {

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final SampleRequestTable sampleRequests = new SampleRequestTable();

    /** Starts generations and scorings. */
    private final ScheduleSystem schedule;

    /** Tracks which groups trainers have received. */
    private final CursorSystem cursors;

    /** The parts that handle messages, in the order in which they run. */
    private final List<SampleMessageHandler> handlers;

    /**
     * Creates new systems.
     *
     * @param membership The members.
     * @param tokens Allocates the tokens of calls to the platform.
     * @param clock The clock that determines the time windows of request identifiers.
     */
    public SampleSystem(MembershipView membership, PlatformTokens tokens, RequestClock clock) {
        this(membership, tokens, clock, SchedulePolicy.Layered.ALL);
    }

    /**
     * Creates new systems with a policy.
     *
     * @param membership The members.
     * @param tokens Allocates the tokens of calls to the platform.
     * @param clock The clock that determines the time windows of request identifiers.
     * @param policy The policy by which samples are scheduled.
     */
    public SampleSystem(MembershipView membership, PlatformTokens tokens, RequestClock clock, SchedulePolicy policy) {
        context = new SampleContext(membership, tokens);
        PoolWindow window = new PoolWindow(context);
        LengthEstimate lengths = new LengthEstimate();
        schedule = new ScheduleSystem(context, sampleRequests, window, lengths, policy, clock);
        cursors = new CursorSystem(context, sampleRequests);
        HolderSystem holders = new HolderSystem(context, sampleRequests);
        handlers = List.of(
                new SubmissionSystem(context),
                new ScoringSystem(context, sampleRequests),
                new GenerationSystem(context, sampleRequests, window, lengths, holders),
                holders,
                new KeeperSystem(context),
                cursors,
                new HandOverSystem(context, cursors),
                new PullSystem(context));
    }

    /**
     * Returns the system that starts generations and scorings, which must run before the request path.
     *
     * @return The system.
     */
    public DecisionSystem beforeRequests() {
        return schedule;
    }

    /**
     * Returns the system that runs all other parts, which must run after the request path.
     *
     * @return The system.
     */
    public DecisionSystem afterRequests() {
        return this::run;
    }

    /**
     * Reports the state of all trainers at this node. This method must be called on the thread that runs the ticks.
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
     * Returns whether no other node takes work, so that nothing can be handed off.
     *
     * @return {@code true} if no other node takes work.
     */
    public boolean isLast() {
        return context.roles.others(context.roles.working()).isEmpty();
    }

    /**
     * Returns whether other nodes hold all data of this node, so that this node may stop. This is expected only after
     * the members no longer consider this node as taking work.
     *
     * @return {@code true} if no data would be lost with this node.
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
     * Dispatches the queued messages to this node itself to all parts.
     *
     * @param tick The current tick.
     */
    private void dispatchLocal(Tick tick) {
        for (Optional<SampleMessage> message = context.outbox.pollLocal();
                message.isPresent();
                message = context.outbox.pollLocal()) {
            dispatch(tick, context.self(), message.get());
        }
    }

    /**
     * Dispatches a message to all parts.
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
