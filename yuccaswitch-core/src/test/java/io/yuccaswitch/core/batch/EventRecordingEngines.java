package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Simulates engines whose events name the run and the version that made them, and the part of a node that reads these
 * events: it reports the growth of texts at intervals, and the received events when an attempt ends.
 */
final class EventRecordingEngines {

    /** The number of events of each output. */
    static final int EVENTS = 150;

    private static final Duration EVENT_INTERVAL = Duration.ofMillis(80);
    private static final Duration GROWTH_INTERVAL = Duration.ofMillis(250);
    private static final Duration MINIMUM_GROWTH_AGE = Duration.ofSeconds(1);
    private static final Duration VERSION_INTERVAL = Duration.ofSeconds(3);

    private final BatchSite site;
    private final Map<Long, Long> resumedAfter = new HashMap<>();
    private final IdentityHashMap<TestNode, Map<Key, Attempt>> attempts = new IdentityHashMap<>();
    private final List<LateEnd> lateEnds = new ArrayList<>();
    private Duration cancellationDelay = Duration.ZERO;
    private long runs;

    EventRecordingEngines(BatchSite site) {
        this.site = site;
    }

    /** Sets the time from the cancellation of an attempt to the report of its end. */
    void delayCancellations(Duration delay) {
        cancellationDelay = delay;
    }

    /** Advances the attempts of nodes. The attempts of other nodes are lost, as those of a node that was killed. */
    void step(Collection<TestNode> nodes) {
        attempts.keySet().retainAll(nodes);
        for (TestNode node : nodes) {
            Map<Key, Attempt> running = attempts.computeIfAbsent(node, _node -> new LinkedHashMap<>());
            node.take(BatchEffect.Cancel.class).forEach(cancel -> cancel(node, running, cancel));
            for (BatchEffect.Run run : node.take(BatchEffect.Run.class)) {
                resumedAfter.put(++runs, run.lastEventId());
                running.put(new Key(run.id(), run.item().id(), run.attempt()), new Attempt(run, runs, site.site.now()));
            }
            running.values().forEach(attempt -> attempt.advance(site.site.now(), node));
            running.values().removeIf(Attempt::isComplete);
        }
        lateEnds.removeIf(end -> {
            boolean due = !site.site.now().isBefore(end.at());
            if (due) {
                end.node().accept(end.event());
            }
            return due;
        });
    }

    /** Interrupts the attempts of a node. */
    void interrupt(TestNode node) {
        Map<Key, Attempt> running = attempts.getOrDefault(node, Map.of());
        running.values().forEach(attempt -> node.accept(attempt.interrupted()));
        running.clear();
    }

    /**
     * Returns the first fault of a result: an event that is missing or stands twice, a run that resumed elsewhere, or
     * versions that are not exactly those of the events.
     */
    Optional<String> fault(BatchResult result) {
        long event = 0;
        long previousRun = 0;
        TreeSet<Long> versions = new TreeSet<>();
        for (String line : result.output().toUtf8().split("\n", -1)) {
            String[] parts = line.split("/", -1);
            long number = Long.parseLong(parts[0]);
            long run = Long.parseLong(parts[1]);
            versions.add(Long.parseLong(parts[2]));
            if (number != event + 1) {
                return Optional.of("event " + number + " follows event " + event);
            }
            if (run != previousRun && resumedAfter.get(run) != event) {
                return Optional.of("run " + run + " resumed after event " + resumedAfter.get(run)
                        + ", but its events follow event " + event + " of run " + previousRun);
            }
            event = number;
            previousRun = run;
        }
        if (!result.versions().equals(List.copyOf(versions))) {
            return Optional.of("the versions are " + result.versions() + ", but those of the events are " + versions);
        }
        return event == EVENTS ? Optional.empty() : Optional.of("the output ends after event " + event);
    }

    /** Returns the version of the weights at a time. */
    private static long versionAt(MonotonicTime time) {
        return 1 + time.nanoseconds() / VERSION_INTERVAL.toNanos();
    }

    private void cancel(TestNode node, Map<Key, Attempt> running, BatchEffect.Cancel cancel) {
        Attempt cancelled = running.remove(new Key(cancel.id(), cancel.item(), cancel.attempt()));
        if (cancelled != null) {
            MonotonicTime at = site.site.now().plus(cancellationDelay);
            lateEnds.add(new LateEnd(node, at, cancelled.interrupted()));
        }
    }

    private record Key(BatchJobId id, String item, int attempt) {}

    private record LateEnd(TestNode node, MonotonicTime at, BatchEvent.AttemptEnded event) {}

    private static final class Attempt {

        private final BatchEffect.Run run;
        private final long number;
        private final MonotonicTime startedAt;
        private final List<Bytes> events = new ArrayList<>();
        private final List<Long> versions = new ArrayList<>();
        private int reported;
        private MonotonicTime reportedAt;

        private Attempt(BatchEffect.Run run, long number, MonotonicTime now) {
            this.run = run;
            this.number = number;
            startedAt = now;
            reportedAt = now;
        }

        private void advance(MonotonicTime now, TestNode node) {
            Duration age = now.since(startedAt);
            long due = Math.min(EVENTS - run.lastEventId(), age.toMillis() / EVENT_INTERVAL.toMillis());
            while (events.size() < due) {
                long version = versionAt(startedAt.plus(EVENT_INTERVAL.multipliedBy(events.size() + 1L)));
                events.add(Bytes.ofUtf8((run.lastEventId() + events.size() + 1) + "/" + number + "/" + version));
                versions.add(version);
            }
            if (isComplete()) {
                node.accept(BatchSite.ended(run, new AttemptOutcome.Completed(), text(0)));
            } else if (reported < events.size()
                    && age.compareTo(MINIMUM_GROWTH_AGE) >= 0
                    && now.since(reportedAt).compareTo(GROWTH_INTERVAL) >= 0) {
                node.accept(new BatchEvent.TextGrown(
                        run.id(), run.item().id(), run.attempt(), run.lastEventId() + reported, text(reported)));
                reported = events.size();
                reportedAt = now;
            }
        }

        private boolean isComplete() {
            return run.lastEventId() + events.size() == EVENTS;
        }

        private BatchEvent.AttemptEnded interrupted() {
            return BatchSite.ended(run, new AttemptOutcome.Interrupted("broken off", false), text(0));
        }

        private ItemText text(int from) {
            TreeSet<Long> distinctVersions = new TreeSet<>(versions.subList(from, versions.size()));
            return new ItemText(
                    run.lastEventId() + events.size(),
                    events.subList(from, events.size()),
                    List.copyOf(distinctVersions));
        }
    }
}
