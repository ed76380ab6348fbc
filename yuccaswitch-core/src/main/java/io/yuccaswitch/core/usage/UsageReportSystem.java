package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.duty.DutyOutcome;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.CallBackOff;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformCalls;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Reports each window once it is over, at the node that has the duties: asks all nodes for what they know of it, has
 * the platform keep the sums, and sends what the platform keeps until the cloud has taken it. As the platform keeps the
 * first report that is written and refuses another, two nodes that both believe to have the duties still send the same.
 */
public final class UsageReportSystem implements DecisionSystem {

    /** The kind of the objects that keep reports. */
    static final String KIND = "usage-report";

    /** The number of objects that keep reports in turn, so that they need not be deleted: an hour of short windows. */
    private static final int OBJECTS = 720;

    /**
     * How long after the end of a window the nodes are asked. Requests that began in it have mostly been answered by
     * then, and what they told is counted; reports are of use for some seconds more.
     */
    private static final Duration COLLECTION_DELAY = Duration.ofMillis(2500);

    /** How long the nodes may take to say what they know. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(800);

    /** How long the cloud may take, beyond the time that the shell waits for it. */
    private static final Duration SENDING_TIME = Duration.ofSeconds(4);

    /** The number of past windows of which a new holder still makes reports: those that may still come in time. */
    private static final int LOOK_BACK = 4;

    /** The first wait after a failed call. */
    private static final Duration FIRST_BACK_OFF = Duration.ofMillis(200);

    /** The longest wait after failed calls. */
    private static final Duration LONGEST_BACK_OFF = Duration.ofSeconds(1);

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The lease of the node that has the duties. */
    private final DutyLease lease;

    /** The counts that this node knows. */
    private final UsageCounts counts;

    /** The windows. */
    private final UsageWindows windows;

    /** Tells the time of day. */
    private final LongSupplier timeOfDay;

    /** The calls to the platform that wait for their answers. */
    private final PlatformCalls calls;

    /** When the next call to the platform may be made. */
    private final CallBackOff backOff = new CallBackOff(FIRST_BACK_OFF, LONGEST_BACK_OFF);

    /** When the next report may be sent. */
    private final CallBackOff sendBackOff = new CallBackOff(FIRST_BACK_OFF, LONGEST_BACK_OFF);

    /** The windows on their way. */
    private final EntityTable<Long, WindowRow> rows = new EntityTable<>();

    /** The first window of which this node would make a report, as the process was there for it. */
    private final long firstSeen;

    /** The first window that is not on its way yet, once the kept reports were read. */
    private OptionalLong next = OptionalLong.empty();

    /** Whether the kept reports are being read. */
    private boolean listing;

    /**
     * Creates a system that has reported nothing.
     *
     * @param membership The nodes of the site.
     * @param lease The lease of the node that has the duties.
     * @param counts The counts that this node knows.
     * @param windows The windows.
     * @param timeOfDay Tells the time of day, in milliseconds since the epoch.
     * @param tokens Hands out the tokens of calls.
     */
    public UsageReportSystem(
            MembershipView membership,
            DutyLease lease,
            UsageCounts counts,
            UsageWindows windows,
            LongSupplier timeOfDay,
            PlatformTokens tokens) {
        this.membership = membership;
        this.lease = lease;
        this.counts = counts;
        this.windows = windows;
        this.timeOfDay = timeOfDay;
        calls = new PlatformCalls(tokens);
        firstSeen = windows.at(timeOfDay.getAsLong());
    }

    @Override
    public void run(Tick tick) {
        calls.answer(tick);
        tick.events(UsageEvent.Reported.class).forEach(reported -> takeOutcome(tick, reported));
        if (!lease.isHeld()) {
            rows.removeIf(_row -> true);
            next = OptionalLong.empty();
            return;
        }
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof UsageMessage.Known known) {
                takeKnown(received.sender().name(), known);
            }
        }
        if (next.isEmpty()) {
            list(tick);
            return;
        }
        collect(tick);
        rows.rows().forEach(row -> advance(tick, row));
    }

    /**
     * Reads the reports that the platform keeps.
     *
     * @param tick The tick.
     */
    private void list(Tick tick) {
        if (listing || !backOff.allows(tick.now())) {
            return;
        }
        listing = true;
        calls.call(tick, token -> new PlatformEffect.ListKind(token, PlatformPurpose.USAGE, KIND), (later, event) -> {
            listing = false;
            if (event instanceof PlatformEvent.ObjectsListed listed) {
                backOff.succeeded(later.now(), Duration.ZERO);
                takeListed(later, listed);
            } else {
                backOff.failed(later);
            }
        });
    }

    /**
     * Takes the reports that the platform keeps: those that were not sent go out again, and the first that there is
     * none of is the next to be made.
     *
     * @param tick The tick.
     * @param listed The objects.
     */
    private void takeListed(Tick tick, PlatformEvent.ObjectsListed listed) {
        long oldest = windows.at(timeOfDay.getAsLong()) - LOOK_BACK;
        long first = listed.objects().isEmpty() ? Math.max(firstSeen, oldest) : oldest;
        for (StoredObject object : listed.objects()) {
            Optional<StoredReport> report = StoredReport.decode(object.value());
            if (report.isEmpty() || report.get().window() < oldest) {
                continue;
            }
            first = Math.max(first, report.get().window() + 1);
            if (!report.get().sent()) {
                rows.put(report.get().window(), WindowRow.kept(report.get(), object.version(), tick.now()));
            }
        }
        next = OptionalLong.of(first);
        tick.decide(Decision.of(
                "usage",
                Long.toString(first),
                "next to report",
                "reports kept " + listed.objects().size()));
    }

    /**
     * Asks all nodes for what they know of the windows that are over.
     *
     * @param tick The tick.
     */
    private void collect(Tick tick) {
        long over = windows.at(timeOfDay.getAsLong() - COLLECTION_DELAY.toMillis());
        while (next.getAsLong() < over) {
            long window = next.getAsLong();
            Set<NodeName> others = membership.working().stream()
                    .map(Member::identity)
                    .filter(node -> !node.equals(membership.self().identity()))
                    .map(node -> node.name())
                    .collect(Collectors.toSet());
            others.forEach(node -> tick.emit(new PeerEffect.Send(node, new UsageMessage.Ask(window))));
            rows.put(window, WindowRow.collecting(window, others, tick.now().plus(ANSWER_TIME)));
            next = OptionalLong.of(window + 1);
        }
    }

    /**
     * Takes what another node knows of a window.
     *
     * @param sender The node.
     * @param known What it knows.
     */
    private void takeKnown(NodeName sender, UsageMessage.Known known) {
        known.rows().forEach(counts::take);
        rows.find(known.window()).ifPresent(row -> rows.put(known.window(), row.without(sender)));
    }

    /**
     * Takes a window one step further, if it is due.
     *
     * @param tick The tick.
     * @param row The window.
     */
    private void advance(Tick tick, WindowRow row) {
        boolean due = !tick.now().isBefore(row.dueAt());
        switch (row.stage()) {
            case COLLECTING -> {
                if ((due || row.awaited().isEmpty()) && backOff.allows(tick.now())) {
                    fix(tick, row);
                }
            }
            case KEPT, SENDING -> {
                if (due && sendBackOff.allows(tick.now())) {
                    send(tick, row);
                }
            }
            case FIXING -> {}
        }
    }

    /**
     * Has the platform keep the sums of a window.
     *
     * @param tick The tick.
     * @param row The window.
     */
    private void fix(Tick tick, WindowRow row) {
        OptionalLong fence = lease.permission();
        if (fence.isEmpty()) {
            return;
        }
        StoredReport report =
                new StoredReport(row.window(), lease.holderName(), fence.getAsLong(), false, counts.sums(row.window()));
        rows.put(row.window(), row.withStage(WindowRow.Stage.FIXING, tick.now()));
        write(tick, report, row.version(), (later, event) -> takeFixed(later, row, report, event));
        tick.decide(Decision.of(
                "usage",
                Long.toString(row.window()),
                "summed",
                "accounts " + report.counts().size() + " nodes that did not answer "
                        + row.awaited().size()));
    }

    /**
     * Takes the platform's answer to a report that is to be kept.
     *
     * @param tick The tick.
     * @param row The window.
     * @param report The report.
     * @param event The answer.
     */
    private void takeFixed(Tick tick, WindowRow row, StoredReport report, PlatformEvent event) {
        if (rows.find(row.window()).isEmpty()) {
            return;
        }
        if (event instanceof PlatformEvent.Accepted accepted) {
            backOff.succeeded(tick.now(), Duration.ZERO);
            rows.put(row.window(), WindowRow.kept(report, accepted.version(), tick.now()));
            return;
        }
        if (event instanceof PlatformEvent.Conflict conflict
                && conflict.current().isPresent()) {
            backOff.succeeded(tick.now(), Duration.ZERO);
            takePresent(tick, row, conflict.current().get());
            return;
        }
        backOff.failed(tick);
        rows.put(row.window(), row.withStage(WindowRow.Stage.COLLECTING, tick.now()));
    }

    /**
     * Takes the report that the platform keeps already under the name of a window's: that of the same window, which
     * holds, or an old one, which is replaced.
     *
     * @param tick The tick.
     * @param row The window.
     * @param present The object.
     */
    private void takePresent(Tick tick, WindowRow row, StoredObject present) {
        Optional<StoredReport> kept = StoredReport.decode(present.value());
        boolean older = kept.isEmpty() || kept.get().window() < row.window();
        if (older) {
            rows.put(
                    row.window(),
                    row.withReplaced(present.version()).withStage(WindowRow.Stage.COLLECTING, tick.now()));
        } else if (kept.get().window() == row.window() && !kept.get().sent()) {
            rows.put(row.window(), WindowRow.kept(kept.get(), present.version(), tick.now()));
        } else {
            rows.remove(row.window());
        }
    }

    /**
     * Sends a report that the platform keeps.
     *
     * @param tick The tick.
     * @param row The window.
     */
    private void send(Tick tick, WindowRow row) {
        OptionalLong fence = lease.permission();
        if (fence.isEmpty()) {
            return;
        }
        rows.put(row.window(), row.withStage(WindowRow.Stage.SENDING, tick.now().plus(SENDING_TIME)));
        lease.recordAction();
        tick.emit(new UsageEffect.Report(
                row.window(), row.report().orElseThrow().counts(), lease.holderName(), fence.getAsLong()));
    }

    /**
     * Takes what became of a report that was sent.
     *
     * @param tick The tick.
     * @param reported What became of it.
     */
    private void takeOutcome(Tick tick, UsageEvent.Reported reported) {
        lease.recordAction();
        Optional<WindowRow> row =
                rows.find(reported.window()).filter(found -> found.stage() == WindowRow.Stage.SENDING);
        if (row.isEmpty()) {
            return;
        }
        tick.decide(Decision.of(
                "usage-report",
                Long.toString(reported.window()),
                reported.outcome().name(),
                "accounts " + row.get().report().orElseThrow().counts().size()));
        if (reported.outcome() == DutyOutcome.UNANSWERED || reported.outcome() == DutyOutcome.EXHAUSTED) {
            sendBackOff.failed(tick);
            rows.put(reported.window(), row.get().withStage(WindowRow.Stage.KEPT, tick.now()));
            return;
        }
        sendBackOff.succeeded(tick.now(), Duration.ZERO);
        rows.remove(reported.window());
        lease.permission().ifPresent(fence -> noteSent(tick, row.get(), fence));
    }

    /**
     * Has the platform keep that a report was sent, which spares a successor the sending. That this fails costs no
     * more.
     *
     * @param tick The tick.
     * @param row The window.
     * @param fence The fencing number.
     */
    private void noteSent(Tick tick, WindowRow row, long fence) {
        StoredReport sent = row.report().orElseThrow().withSent(lease.holderName(), fence);
        write(tick, sent, row.version(), (_later, _event) -> {});
    }

    /**
     * Writes a report.
     *
     * @param tick The tick.
     * @param report The report.
     * @param expected The version that its object must have, or empty if there must be none.
     * @param then What follows the answer.
     */
    private void write(
            Tick tick,
            StoredReport report,
            OptionalLong expected,
            java.util.function.BiConsumer<Tick, PlatformEvent> then) {
        ObjectKey key = new ObjectKey(KIND, Long.toString(Math.floorMod(report.window(), (long) OBJECTS)));
        calls.call(
                tick,
                token -> new PlatformEffect.Write(token, PlatformPurpose.USAGE, key, expected, report.encode()),
                then);
    }
}
