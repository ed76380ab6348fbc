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

/** The promises, each judged by what callers, trainers and endpoints have seen. */
final class SoakChecks {

    /** The least time between orders of two holders, as the gateways' settings of the stand-ins say. */
    static final Duration ORDER_SAFETY = Duration.ofMillis(500);

    /** The whole output of an item. */
    static final String OUTPUT = "e1\ne2\ne3\ne4\ne5";

    /** What the identifiers of scoring requests begin with. The item's identifier follows. */
    private static final String SCORING = "s-";

    private static final int OK = 200;

    private SoakChecks() {}

    /** Returns what broke a promise, empty if nothing did. */
    static List<String> violations(SoakHistory history) {
        List<String> found = new ArrayList<>(history.failures);
        found.addAll(requestsThatRanTwice(history));
        found.addAll(untrueRefusals(history));
        found.addAll(wrongAnswers(history));
        found.addAll(itemsListedTwice(history));
        found.addAll(changedPositions(history));
        found.addAll(wrongOutputs(history));
        found.addAll(wrongVersions(history));
        found.addAll(wrongScores(history));
        found.addAll(scoringOfNoOutput(history));
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
                .map(count -> "request " + count.getKey() + " may run once and ran " + count.getValue() + " times")
                .toList();
    }

    static List<String> untrueRefusals(SoakHistory history) {
        Set<String> ran = history.allRuns().stream().map(ReceivedRequest::id).collect(Collectors.toSet());
        return history.plain.stream()
                .filter(Plain::once)
                .filter(plain -> plain.reply().filter(Reply::isNotRun).isPresent() && ran.contains(plain.id()))
                .map(plain -> "request " + plain.id() + " was said not to have run and ran")
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
                    found.add("item " + listed.get(0).item() + " of " + job + " stands at two positions");
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
                        found.add("position " + position + " of " + job + " held " + Set.copyOf(listed));
                    }
                }));
        return found;
    }

    static List<String> wrongOutputs(SoakHistory history) {
        return listed(history).stream()
                .filter(ItemResult::completed)
                .filter(listed -> !listed.output().equals(OUTPUT))
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
                .map(listed -> "item " + listed.item() + " names versions " + listed.versions() + ", produced by "
                        + produced.get(listed.item()))
                .toList();
    }

    static List<String> wrongScores(SoakHistory history) {
        return listed(history).stream()
                .filter(ItemResult::completed)
                .filter(listed -> !listed.score().equals(EngineStandIn.scoreOf(SCORING + listed.item())))
                .map(listed -> "item " + listed.item() + " bears the score '" + listed.score() + "'")
                .toList();
    }

    static List<String> scoringOfNoOutput(SoakHistory history) {
        Map<String, Long> firstRuns = history.allRuns().stream()
                .collect(Collectors.toMap(ReceivedRequest::id, ReceivedRequest::nanoseconds, Math::min));
        return history.allRuns().stream()
                .filter(run -> run.id().startsWith(SCORING))
                .filter(run -> firstRuns.getOrDefault(run.id().substring(SCORING.length()), Long.MAX_VALUE)
                        >= run.nanoseconds())
                .map(run -> "scoring request " + run.id() + " ran before its item did")
                .toList();
    }

    static List<String> refusedJobsThatRan(SoakHistory history) {
        Map<String, Boolean> open = new HashMap<>();
        history.submissions.forEach(
                submission -> open.merge(submission.job(), submission.isOpen(), Boolean::logicalOr));
        return history.allRuns().stream()
                .filter(run -> open.containsKey(jobOf(run.id())) && !open.get(jobOf(run.id())))
                .map(run -> "item " + run.id() + " ran though its job was refused at every attempt")
                .distinct()
                .toList();
    }

    static List<String> ordersOfTwoHolders(SoakHistory history) {
        List<String> found = new ArrayList<>();
        history.orders.forEach((engine, orders) -> {
            for (int i = 1; i < orders.size(); i++) {
                judge(engine, orders.get(i - 1), orders.get(i)).ifPresent(found::add);
            }
        });
        return found;
    }

    private static Optional<String> judge(String engine, AcceptedOrder before, AcceptedOrder after) {
        boolean sameHolder = before.holder().equals(after.holder());
        long between = after.nanoseconds() - before.nanoseconds();
        if (!sameHolder && (between < ORDER_SAFETY.toNanos() || before.fence() == after.fence())) {
            return Optional.of(engine + " took orders of two holders: " + before + " and " + after);
        }
        return after.fence() < before.fence()
                ? Optional.of(engine + " took a lower fencing number: " + before + " and " + after)
                : Optional.empty();
    }

    /** Returns the jobs that were accepted. */
    static Set<String> accepted(SoakHistory history) {
        return history.submissions.stream()
                .filter(Submission::isAccepted)
                .map(Submission::job)
                .collect(Collectors.toSet());
    }

    /** Returns what was ever shown at the positions of each job. */
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
        String scored = item.startsWith(SCORING) ? item.substring(SCORING.length()) : item;
        int end = scored.lastIndexOf('-');
        return end < 0 ? scored : scored.substring(0, end);
    }
}
