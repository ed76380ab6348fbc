package io.yuccaswitch.soak;

import io.yuccaswitch.adapter.standin.CallerStandIn.Page;
import io.yuccaswitch.adapter.standin.CallerStandIn.Reply;
import io.yuccaswitch.adapter.standin.EngineStandIn.AcceptedOrder;
import io.yuccaswitch.adapter.standin.EngineStandIn.ReceivedRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The observations of callers, trainers and endpoints during a soak run. */
final class SoakHistory {

    final List<Plain> plain = Collections.synchronizedList(new ArrayList<>());
    final List<Submission> submissions = Collections.synchronizedList(new ArrayList<>());
    final List<Read> reads = Collections.synchronizedList(new ArrayList<>());
    final List<String> failures = Collections.synchronizedList(new ArrayList<>());
    final Map<String, List<ReceivedRequest>> runs = new TreeMap<>();
    final Map<String, List<AcceptedOrder>> orders = new TreeMap<>();

    /** A plain request of a caller with its unique identifier, and whether it may run at most once. */
    record Plain(String id, boolean once, Optional<Reply> reply) {}

    /** An attempt to submit a batch job. */
    record Submission(String job, int items, long minimumVersion, Optional<Reply> reply) {

        /** Returns whether the job may have been accepted. */
        boolean mayHaveBeenAccepted() {
            return reply.isEmpty() || !reply.get().isNotRun();
        }

        /** Returns whether the job was accepted. */
        boolean isAccepted() {
            return reply.filter(found -> found.status() == 202).isPresent();
        }
    }

    /** A page of results that a node returned. */
    record Read(String job, String node, Page page) {}

    /** Returns all runs of requests and items at all endpoints. */
    List<ReceivedRequest> allRuns() {
        return runs.values().stream().flatMap(List::stream).toList();
    }
}
