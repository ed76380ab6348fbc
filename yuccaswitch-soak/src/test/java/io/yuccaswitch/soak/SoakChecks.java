package io.yuccaswitch.soak;

import io.yuccaswitch.adapter.standin.CallerStandIn.ItemResult;
import io.yuccaswitch.adapter.standin.CallerStandIn.Reply;
import io.yuccaswitch.adapter.standin.EngineStandIn;
import io.yuccaswitch.adapter.standin.EngineStandIn.AcceptedOrder;
import io.yuccaswitch.adapter.standin.EngineStandIn.ReceivedRequest;
import io.yuccaswitch.soak.SoakHistory.Plain;
import io.yuccaswitch.soak.SoakHistory.Read;
import io.yuccaswitch.soak.SoakHistory.Submission;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Checks each promise against the observations of callers, trainers and endpoints. */
final class SoakChecks {

    /** The minimum time between orders of two holders, as the stand-ins configure it for the gateways. */
    static final Duration ORDER_SAFETY_TIME = Duration.ofMillis(500);

    /** The complete output of an item. */
    static final String COMPLETE_OUTPUT = "e1\ne2\ne3\ne4\ne5";

    /** The prefix of the identifiers of scoring requests. The item's identifier follows. */
    private static final String SCORING_PREFIX = "s-";

    private static final int OK = 200;

    private SoakChecks() {}

    /** Returns a description of each violation of a promise. */
    static List<String> violations(SoakHistory history) {
        List<String> found = new ArrayList<>(history.failures);
        found.addAll(requestsThatRanTwice(history));
        found.addAll(refusalsOfRequestsThatRan(history));
        found.addAll(wrongAnswers(history));
        found.addAll(itemsListedTwice(history));
        found.addAll(changedPositions(history));
        found.addAll(wrongOutputs(history));
        found.addAll(wrongVersions(history));
        found.addAll(wrongScores(history));
        found.addAll(scoringBeforeOutput(history));
        found.addAll(refusedJobsThatRan(history));
        found.addAll(ordersOfTwoHolders(history));
        return found;
    }

    static List<String> requestsThatRanTwice(SoakHistory history) {
        Set<String> once =
                history.plain.stream().filter(Plain::once).map(Plain::id).collect(Collectors.toSet());
        Map<String, Long> counts = history.allRuns().stream()
                .filter(run -> once.contains(run.id()))
                .collect(Collectors.groupingBy(ReceivedRequest::id, Collectors.counting()));
        return counts.entrySet().stream()
                .filter(count -> count.getValue() > 1)
                .map(count ->
                        "request " + count.getKey() + " may run at most once but ran " + count.getValue() + " times")
                .toList();
    }

    static List<String> refusalsOfRequestsThatRan(SoakHistory history) {
        Set<String> ran = history.allRuns().stream().map(ReceivedRequest::id).collect(Collectors.toSet());
        return history.plain.stream()
                .filter(Plain::once)
                .filter(plain -> plain.reply().filter(Reply::isNotRun).isPresent() && ran.contains(plain.id()))
                .map(plain -> "request " + plain.id() + " was reported as not run but ran")
                .toList();
    }

    static List<String> wrongAnswers(SoakHistory history) {
        return history.plain.stream()
                .filter(plain -> plain.reply()
                        .filter(reply -> reply.status() == OK)
                        .filter(reply -> !reply.signed() || !reply.body().equals("answer to " + plain.id()))
                        .isPresent())
                .map(plain -> "request " + plain.id() + " got the answer '"
                        + plain.reply().orElseThrow().body() + "'")
                .toList();
    }

    static List<String> itemsListedTwice(SoakHistory history) {
        List<String> found = new ArrayList<>();
        positions(history).forEach((job, positions) -> {
            Set<String> items = new HashSet<>();
            positions.forEach((_position, listed) -> {
                if (!items.add(listed.get(0).item())) {
                    found.add("item " + listed.get(0).item() + " of " + job + " is listed at two positions");
                }
            });
        });
        return found;
    }

    static List<String> changedPositions(SoakHistory history) {
        List<String> found = new ArrayList<>();
        positions(history)
                .forEach((job, positions) -> positions.forEach((position, listed) -> {
                    if (Set.copyOf(listed).size() > 1) {
                        found.add("position " + position + " of " + job + " had different results: "
                                + Set.copyOf(listed));
                    }
                }));
        return found;
    }

    static List<String> wrongOutputs(SoakHistory history) {
        return listed(history).stream()
                .filter(ItemResult::completed)
                .filter(listed -> !listed.output().equals(COMPLETE_OUTPUT))
                .map(listed -> "item " + listed.item() + " has the output '" + listed.output() + "'")
                .toList();
    }

    static List<String> wrongVersions(SoakHistory history) {
        Map<String, Set<Long>> produced = new HashMap<>();
        history.allRuns().forEach(run -> produced.computeIfAbsent(run.id(), _id -> new HashSet<>())
                .add(run.version()));
        Map<String, Long> minimum = new HashMap<>();
        history.submissions.forEach(submission -> minimum.put(submission.job(), submission.minimumVersion()));
        return listed(history).stream()
                .filter(ItemResult::completed)
                .filter(listed -> listed.versions().isEmpty()
                        || !produced.getOrDefault(listed.item(), Set.of()).containsAll(listed.versions())
                        || listed.versions().stream().anyMatch(version -> version < minimum.get(jobOf(listed.item()))))
                .map(listed -> "item " + listed.item() + " lists versions " + listed.versions() + ", produced by "
                        + produced.get(listed.item()))
                .toList();
    }

    static List<String> wrongScores(SoakHistory history) {
        return listed(history).stream()
                .filter(ItemResult::completed)
                .filter(listed -> !listed.score().equals(EngineStandIn.scoreOf(SCORING_PREFIX + listed.item())))
                .map(listed -> "item " + listed.item() + " has the score '" + listed.score() + "'")
                .toList();
    }

    static List<String> scoringBeforeOutput(SoakHistory history) {
        Map<String, Long> firstRuns = history.allRuns().stream()
                .collect(Collectors.toMap(ReceivedRequest::id, ReceivedRequest::nanoseconds, Math::min));
        return history.allRuns().stream()
                .filter(run -> run.id().startsWith(SCORING_PREFIX))
                .filter(run -> firstRuns.getOrDefault(run.id().substring(SCORING_PREFIX.length()), Long.MAX_VALUE)
                        >= run.nanoseconds())
                .map(run -> "scoring request " + run.id() + " ran before its item did")
                .toList();
    }

    static List<String> refusedJobsThatRan(SoakHistory history) {
        Map<String, Boolean> possiblyAccepted = new HashMap<>();
        history.submissions.forEach(submission ->
                possiblyAccepted.merge(submission.job(), submission.mayHaveBeenAccepted(), Boolean::logicalOr));
        return history.allRuns().stream()
                .filter(run -> possiblyAccepted.containsKey(jobOf(run.id())) && !possiblyAccepted.get(jobOf(run.id())))
                .map(run -> "item " + run.id() + " ran although its job was refused at every attempt")
                .distinct()
                .toList();
    }

    static List<String> ordersOfTwoHolders(SoakHistory history) {
        List<String> found = new ArrayList<>();
        history.orders.forEach((engine, orders) -> {
            for (int i = 1; i < orders.size(); i++) {
                orderViolation(engine, orders.get(i - 1), orders.get(i)).ifPresent(found::add);
            }
        });
        return found;
    }

    private static Optional<String> orderViolation(String engine, AcceptedOrder before, AcceptedOrder after) {
        boolean sameHolder = before.holder().equals(after.holder());
        long between = after.nanoseconds() - before.nanoseconds();
        if (!sameHolder && (between < ORDER_SAFETY_TIME.toNanos() || before.fence() == after.fence())) {
            return Optional.of(engine + " received conflicting orders of two holders: " + before + " and " + after);
        }
        return after.fence() < before.fence()
                ? Optional.of(engine + " received a lower fencing number: " + before + " and " + after)
                : Optional.empty();
    }

    /** Returns the jobs that were accepted. */
    static Set<String> accepted(SoakHistory history) {
        return history.submissions.stream()
                .filter(Submission::isAccepted)
                .map(Submission::job)
                .collect(Collectors.toSet());
    }

    /** Returns all results that were read at each position of each job. */
    private static Map<String, Map<Integer, List<ItemResult>>> positions(SoakHistory history) {
        Map<String, Map<Integer, List<ItemResult>>> positions = new TreeMap<>();
        for (Read read : history.reads) {
            List<ItemResult> results = read.page().results();
            for (int i = 0; i < results.size(); i++) {
                positions
                        .computeIfAbsent(read.job(), _job -> new TreeMap<>())
                        .computeIfAbsent(read.page().after() + i, _position -> new ArrayList<>())
                        .add(results.get(i));
            }
        }
        return positions;
    }

    private static Set<ItemResult> listed(SoakHistory history) {
        return history.reads.stream()
                .flatMap(read -> read.page().results().stream())
                .collect(Collectors.toSet());
    }

    /** Returns the job of an item, or of the item that a scoring request is for. */
    private static String jobOf(String item) {
        String scored = item.startsWith(SCORING_PREFIX) ? item.substring(SCORING_PREFIX.length()) : item;
        int end = scored.lastIndexOf('-');
        return end < 0 ? scored : scored.substring(0, end);
    }
}
