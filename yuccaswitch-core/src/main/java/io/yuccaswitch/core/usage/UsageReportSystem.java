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
import io.yuccaswitch.core.platform.CallBackoff;
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
 * Reports each window after its end, at the node that holds the duties: requests the counts of all nodes, stores their
 * sums at the platform, and sends the stored report until the cloud has accepted it. The platform accepts only the
 * first report of a window, so two nodes that both believe they hold the duties still send the same report.
 */
public final class UsageReportSystem implements DecisionSystem {

    /** The kind of the objects that store reports. */
    static final String KIND = "usage-report";

    /** The number of objects that are reused for reports in turn and so never deleted: one hour of 5 s windows. */
    private static final int REPORT_OBJECTS = 720;

    /**
     * The delay between the end of a window and the request for its counts. By then most requests that began in the
     * window have been answered and counted, and the report is useful for a few more seconds.
     */
    private static final Duration COLLECTION_DELAY = Duration.ofMillis(2500);

    /** The timeout for the counts of the other nodes. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(800);

    /** The timeout of a report to the cloud, which exceeds the time that the shell waits for the answer. */
    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(4);

    /** The number of past windows that a new holder still reports: those whose reports may still arrive in time. */
    private static final int REPORTED_PAST_WINDOWS = 4;

    /** The initial backoff after a failed call. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(200);

    /** The maximum backoff after failed calls. */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(1);

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The lease of the node that holds the duties. */
    private final DutyLease lease;

    /** The counts that this node has. */
    private final UsageCounts counts;

    /** The windows. */
    private final UsageWindows windows;

    /** The clock, in milliseconds since the epoch. */
    private final LongSupplier timeOfDay;

    /** The pending calls to the platform. */
    private final PlatformCalls calls;

    /** When the next call to the platform may be made. */
    private final CallBackoff backoff = new CallBackoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF);

    /** When the next report may be sent. */
    private final CallBackoff sendBackoff = new CallBackoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF);

    /** The windows whose reports have not been delivered yet. */
    private final EntityTable<Long, WindowRow> rows = new EntityTable<>();

    /** The window in which this process started, the first one that it can report. */
    private final long startWindow;

    /** The next window to collect, or empty until the stored reports have been listed. */
    private OptionalLong nextWindow = OptionalLong.empty();

    /** Whether the stored reports are being listed. */
    private boolean listing;

    /**
     * Creates a system that has reported nothing.
     *
     * @param membership The nodes of the site.
     * @param lease The lease of the node that holds the duties.
     * @param counts The counts that this node has.
     * @param windows The windows.
     * @param timeOfDay The clock, in milliseconds since the epoch.
     * @param tokens Allocates the tokens of calls.
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
        startWindow = windows.windowAt(timeOfDay.getAsLong());
    }

    @Override
    public void run(Tick tick) {
        calls.processAnswers(tick);
        tick.events(UsageEvent.Reported.class).forEach(reported -> handleOutcome(tick, reported));
        if (!lease.isHeld()) {
            rows.removeIf(_row -> true);
            nextWindow = OptionalLong.empty();
            return;
        }
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof UsageMessage.Counts known) {
                handleCounts(received.sender().name(), known);
            }
        }
        if (nextWindow.isEmpty()) {
            listReports(tick);
            return;
        }
        collect(tick);
        rows.rows().forEach(row -> advance(tick, row));
    }

    /**
     * Lists the reports that the platform stores.
     *
     * @param tick The tick.
     */
    private void listReports(Tick tick) {
        if (listing || !backoff.allows(tick.now())) {
            return;
        }
        listing = true;
        calls.call(tick, token -> new PlatformEffect.ListKind(token, PlatformPurpose.USAGE, KIND), (later, event) -> {
            listing = false;
            if (event instanceof PlatformEvent.ObjectsListed listed) {
                backoff.succeeded(later.now(), Duration.ZERO);
                handleListed(later, listed);
            } else {
                backoff.failed(later);
            }
        });
    }

    /**
     * Handles the reports that the platform stores: unsent reports are sent again, and collection continues with the
     * first window after the newest stored report.
     *
     * @param tick The tick.
     * @param listed The objects.
     */
    private void handleListed(Tick tick, PlatformEvent.ObjectsListed listed) {
        long oldest = windows.windowAt(timeOfDay.getAsLong()) - REPORTED_PAST_WINDOWS;
        long first = listed.objects().isEmpty() ? Math.max(startWindow, oldest) : oldest;
        for (StoredObject object : listed.objects()) {
            Optional<StoredReport> report = StoredReport.decode(object.value());
            if (report.isEmpty() || report.get().window() < oldest) {
                continue;
            }
            first = Math.max(first, report.get().window() + 1);
            if (!report.get().sent()) {
                rows.put(report.get().window(), WindowRow.stored(report.get(), object.version(), tick.now()));
            }
        }
        nextWindow = OptionalLong.of(first);
        tick.decide(Decision.of(
                "usage",
                Long.toString(first),
                "next to report",
                "reports stored " + listed.objects().size()));
    }

    /**
     * Requests the counts of the windows that have ended from all nodes.
     *
     * @param tick The tick.
     */
    private void collect(Tick tick) {
        long endedBefore = windows.windowAt(timeOfDay.getAsLong() - COLLECTION_DELAY.toMillis());
        while (nextWindow.getAsLong() < endedBefore) {
            long window = nextWindow.getAsLong();
            Set<NodeName> others = membership.working().stream()
                    .map(Member::identity)
                    .filter(node -> !node.equals(membership.self().identity()))
                    .map(node -> node.name())
                    .collect(Collectors.toSet());
            others.forEach(node -> tick.emit(new PeerEffect.Send(node, new UsageMessage.RequestCounts(window))));
            rows.put(window, WindowRow.collecting(window, others, tick.now().plus(ANSWER_TIMEOUT)));
            nextWindow = OptionalLong.of(window + 1);
        }
    }

    /**
     * Handles the counts of another node for a window.
     *
     * @param sender The node.
     * @param known The counts.
     */
    private void handleCounts(NodeName sender, UsageMessage.Counts known) {
        known.rows().forEach(counts::merge);
        rows.find(known.window()).ifPresent(row -> rows.put(known.window(), row.withAnswerOf(sender)));
    }

    /**
     * Performs the next step of a window, if it is due.
     *
     * @param tick The tick.
     * @param row The window.
     */
    private void advance(Tick tick, WindowRow row) {
        boolean due = !tick.now().isBefore(row.dueAt());
        switch (row.stage()) {
            case COLLECTING -> {
                if ((due || row.awaited().isEmpty()) && backoff.allows(tick.now())) {
                    store(tick, row);
                }
            }
            case STORED, SENDING -> {
                if (due && sendBackoff.allows(tick.now())) {
                    send(tick, row);
                }
            }
            case STORING -> {}
        }
    }

    /**
     * Stores the report of a window at the platform.
     *
     * @param tick The tick.
     * @param row The window.
     */
    private void store(Tick tick, WindowRow row) {
        OptionalLong fence = lease.permission();
        if (fence.isEmpty()) {
            return;
        }
        StoredReport report =
                new StoredReport(row.window(), lease.holderName(), fence.getAsLong(), false, counts.sums(row.window()));
        rows.put(row.window(), row.withStage(WindowRow.Stage.STORING, tick.now()));
        write(tick, report, row.version(), (later, event) -> handleStored(later, row, report, event));
        tick.decide(Decision.of(
                "usage",
                Long.toString(row.window()),
                "summed",
                "accounts " + report.counts().size() + " nodes that did not answer "
                        + row.awaited().size()));
    }

    /**
     * Handles the platform's answer to the write of a report.
     *
     * @param tick The tick.
     * @param row The window.
     * @param report The report.
     * @param event The answer.
     */
    private void handleStored(Tick tick, WindowRow row, StoredReport report, PlatformEvent event) {
        if (rows.find(row.window()).isEmpty()) {
            return;
        }
        if (event instanceof PlatformEvent.Accepted accepted) {
            backoff.succeeded(tick.now(), Duration.ZERO);
            rows.put(row.window(), WindowRow.stored(report, accepted.version(), tick.now()));
            return;
        }
        if (event instanceof PlatformEvent.Conflict conflict
                && conflict.current().isPresent()) {
            backoff.succeeded(tick.now(), Duration.ZERO);
            handleExisting(tick, row, conflict.current().get());
            return;
        }
        backoff.failed(tick);
        rows.put(row.window(), row.withStage(WindowRow.Stage.COLLECTING, tick.now()));
    }

    /**
     * Handles a report that the platform already stores under the same object name. A report of the same window is
     * used, and an older one is replaced.
     *
     * @param tick The tick.
     * @param row The window.
     * @param existing The object.
     */
    private void handleExisting(Tick tick, WindowRow row, StoredObject existing) {
        Optional<StoredReport> stored = StoredReport.decode(existing.value());
        boolean replaceable = stored.isEmpty() || stored.get().window() < row.window();
        if (replaceable) {
            rows.put(
                    row.window(),
                    row.withReplacedVersion(existing.version()).withStage(WindowRow.Stage.COLLECTING, tick.now()));
        } else if (stored.get().window() == row.window() && !stored.get().sent()) {
            rows.put(row.window(), WindowRow.stored(stored.get(), existing.version(), tick.now()));
        } else {
            rows.remove(row.window());
        }
    }

    /**
     * Sends a stored report to the cloud.
     *
     * @param tick The tick.
     * @param row The window.
     */
    private void send(Tick tick, WindowRow row) {
        OptionalLong fence = lease.permission();
        if (fence.isEmpty()) {
            return;
        }
        rows.put(row.window(), row.withStage(WindowRow.Stage.SENDING, tick.now().plus(SEND_TIMEOUT)));
        lease.recordAction();
        tick.emit(new UsageEffect.Report(
                row.window(), row.report().orElseThrow().counts(), lease.holderName(), fence.getAsLong()));
    }

    /**
     * Handles the outcome of a report that was sent.
     *
     * @param tick The tick.
     * @param reported The outcome.
     */
    private void handleOutcome(Tick tick, UsageEvent.Reported reported) {
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
            sendBackoff.failed(tick);
            rows.put(reported.window(), row.get().withStage(WindowRow.Stage.STORED, tick.now()));
            return;
        }
        sendBackoff.succeeded(tick.now(), Duration.ZERO);
        rows.remove(reported.window());
        lease.permission().ifPresent(fence -> markSent(tick, row.get(), fence));
    }

    /**
     * Marks a report as sent at the platform, so that a successor does not send it again. A failed write is not
     * retried, because it only leads to a repeated report.
     *
     * @param tick The tick.
     * @param row The window.
     * @param fence The fencing number.
     */
    private void markSent(Tick tick, WindowRow row, long fence) {
        StoredReport sent = row.report().orElseThrow().withSent(lease.holderName(), fence);
        write(tick, sent, row.version(), (_later, _event) -> {});
    }

    /**
     * Writes a report to the platform.
     *
     * @param tick The tick.
     * @param report The report.
     * @param expected The expected version of the object, or empty if it must not exist.
     * @param callback The callback for the answer.
     */
    private void write(
            Tick tick,
            StoredReport report,
            OptionalLong expected,
            java.util.function.BiConsumer<Tick, PlatformEvent> callback) {
        ObjectKey key = new ObjectKey(KIND, Long.toString(Math.floorMod(report.window(), (long) REPORT_OBJECTS)));
        calls.call(
                tick,
                token -> new PlatformEffect.Write(token, PlatformPurpose.USAGE, key, expected, report.encode()),
                callback);
    }
}
