package io.yuccaswitch.core.batch;

import com.google.common.math.LongMath;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The items in progress and waiting at other nodes that run jobs, as these nodes reported them. Overlapping jobs of one
 * trainer usually run on different nodes: without the reports, each node would use slots that the other has taken and
 * detect that by refusals, and the items of the later job would take slots that the earlier one waits for.
 */
final class RemoteRunnerLoads {

    /** How long the report of a node is valid: a few times the report interval. */
    private static final Duration REPORT_VALIDITY = Duration.ofMillis(500);

    /**
     * How long a node whose job has ended is expected to run the next job of the model: several steps. Jobs of one
     * model mostly run at the same node.
     */
    private static final Duration RECENT_RUNNER_DURATION = Duration.ofSeconds(30);

    /** The longest slowdown that a report may state, so that an erroneous report does not overflow later sums. */
    private static final long MAXIMUM_SLOW_MILLIS = 600_000;

    /** The last report of each node. */
    private final Map<NodeName, Report> reports = new HashMap<>();

    /** When each node that ran jobs recently was last known to run one, while this node follows the reports. */
    private final Map<NodeName, MonotonicTime> recentRunners = new HashMap<>();

    /** Until when this node follows the reports without running jobs itself. */
    private MonotonicTime followedUntil = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Follows the reports of other nodes although this node may run no job, because it orders loads of versions.
     *
     * @param until When to stop.
     */
    void followUntil(MonotonicTime until) {
        followedUntil = until;
    }

    /**
     * Returns whether this node follows the reports of other nodes although it may run no job.
     *
     * @param now The current time.
     * @return {@code true} if it does.
     */
    boolean isFollowed(MonotonicTime now) {
        return now.isBefore(followedUntil);
    }

    /**
     * Records which nodes run jobs.
     *
     * @param nodes The nodes.
     * @param now The current time.
     */
    void recordRunners(Collection<NodeName> nodes, MonotonicTime now) {
        nodes.forEach(node -> recentRunners.put(node, now));
        recentRunners.values().removeIf(at -> now.since(at).compareTo(RECENT_RUNNER_DURATION) > 0);
    }

    /**
     * Returns the nodes that run jobs, followed by those that have run some recently. Senders limit the number of
     * recipients, and a node that runs jobs must not lose its place to one that does not.
     *
     * @param current The nodes that run jobs.
     * @return The nodes, without duplicates.
     */
    List<NodeName> withRecentRunners(Collection<NodeName> current) {
        Set<NodeName> nodes = new LinkedHashSet<>(new TreeSet<>(current));
        nodes.addAll(new TreeSet<>(recentRunners.keySet()));
        return List.copyOf(nodes);
    }

    /**
     * Records the report of a node.
     *
     * @param node The node.
     * @param message The report.
     * @param now The current time.
     */
    void update(NodeName node, BatchMessage.EnginesInUse message, MonotonicTime now) {
        reports.put(node, new Report(message, now));
    }

    /**
     * Removes stale reports.
     *
     * @param now The current time.
     */
    void removeStale(MonotonicTime now) {
        reports.values().removeIf(report -> now.since(report.at()).compareTo(REPORT_VALIDITY) > 0);
    }

    /**
     * Returns the nodes with a valid report.
     *
     * @return The nodes.
     */
    Collection<NodeName> nodes() {
        return reports.keySet();
    }

    /**
     * Returns the number of items that other nodes have in progress at an engine.
     *
     * @param engine The engine.
     * @return The number.
     */
    int running(EndpointName engine) {
        int count = 0;
        for (Report report : reports.values()) {
            count += report.message().running().getOrDefault(engine, 0);
        }
        return count;
    }

    /**
     * Returns the number of items that wait for slots at other nodes.
     *
     * @param model The model.
     * @return The number.
     */
    int waiting(String model) {
        return waitingBefore(model, Long.MAX_VALUE);
    }

    /**
     * Returns the engines at which other nodes have items in progress.
     *
     * @return Their names.
     */
    Set<EndpointName> engines() {
        Set<EndpointName> engines = new HashSet<>();
        reports.values()
                .forEach(report -> engines.addAll(report.message().running().keySet()));
        return engines;
    }

    /**
     * Returns for how long the readings of other nodes have shown an engine as slow.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return The longest reported time, extended by the age of its report, or empty if no valid report states one.
     */
    Optional<Duration> slowFor(EndpointName engine, MonotonicTime now) {
        Optional<Duration> longest = Optional.empty();
        for (Report report : reports.values()) {
            long millis = report.message().slowMillis().getOrDefault(engine, 0L);
            Duration age = now.since(report.at());
            if (millis > 0 && age.compareTo(REPORT_VALIDITY) <= 0) {
                Duration slow =
                        Duration.ofMillis(Math.min(millis, MAXIMUM_SLOW_MILLIS)).plus(age);
                longest = longest.filter(other -> other.compareTo(slow) > 0).or(() -> Optional.of(slow));
            }
        }
        return longest;
    }

    /**
     * Returns the tokens that the items of other nodes are expected to occupy in the memory of an engine.
     *
     * @param engine The engine.
     * @return The number of tokens.
     */
    long tokens(EndpointName engine) {
        long tokens = 0;
        for (Report report : reports.values()) {
            tokens += report.message().tokens().getOrDefault(engine, 0L);
        }
        return tokens;
    }

    /**
     * Returns the number of items of earlier jobs that wait for slots at other nodes.
     *
     * @param model The model.
     * @param submittedAt When the job that needs slots was submitted, in milliseconds since the epoch.
     * @return The number.
     */
    int waitingBefore(String model, long submittedAt) {
        int count = 0;
        for (Report report : reports.values()) {
            for (BatchMessage.Demand demand : report.message().demands()) {
                count += demand.model().equals(model) && demand.submittedAt() < submittedAt ? demand.waiting() : 0;
            }
        }
        return count;
    }

    /**
     * Returns the steps of other nodes that wait for slots. A node that does not order by slack reports none: its jobs
     * precede later jobs of their model, as if they had the same slack.
     *
     * @param models The models of the steps.
     * @param own The step that needs slots.
     * @param now The current time.
     * @return The steps, whose slacks are reduced by the age of the report.
     */
    List<Step> steps(Set<String> models, Step own, MonotonicTime now) {
        List<Step> steps = new ArrayList<>();
        for (Report report : reports.values()) {
            long age = now.since(report.at()).toMillis();
            for (BatchMessage.Demand demand : report.message().demands()) {
                long slack = demand.slackMillis() == Step.NO_DUE_TIME
                        ? Step.NO_DUE_TIME
                        : LongMath.saturatedSubtract(demand.slackMillis(), age);
                boolean ordered = demand.slackMillis() != 0;
                if (ordered ? models.contains(demand.model()) : demand.model().equals(own.model())) {
                    steps.add(new Step(
                            demand.model(),
                            ordered ? demand.priority() : own.priority(),
                            ordered ? slack : own.slackMillis(),
                            ordered ? demand.needMillis() : own.needMillis(),
                            demand.submittedAt(),
                            demand.waiting(),
                            ordered ? demand.running() : own.running()));
                }
            }
        }
        return steps;
    }

    /**
     * The report of a node.
     *
     * @param message The report.
     * @param at When it arrived.
     */
    private record Report(BatchMessage.EnginesInUse message, MonotonicTime at) {}
}
