package io.yuccaswitch.core.admission;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.proxy.ReportedLoad;
import io.yuccaswitch.core.proxy.RetryDelay;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Replays a load of plain requests against nodes and endpoints without a network, in steps of one millisecond.
 * Endpoints refuse requests beyond their slots, and report their load with each answer. Refused callers return to any
 * node at the time that they were told, while they have time left.
 */
final class AdmissionReplay {

    private static final int MAXIMUM_SENDS = 4;
    private static final long NETWORK_MILLIS = 1;

    final List<Call> calls = new ArrayList<>();
    final List<RegisteredEndpoint> working = new ArrayList<>();
    int sends;
    int refusedSends;

    /** Sends requests at once as without the admission, for comparison. */
    boolean immediate;

    private final Terms terms;
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<EndpointName, Integer> running = new HashMap<>();
    private final PriorityQueue<Scheduled> agenda = new PriorityQueue<>();
    private long millis;
    private long sequence;

    AdmissionReplay(Terms terms, int nodes, int endpoints, int slots, long seed) {
        this.terms = terms;
        random = new Random(seed);
        for (int index = 0; index < endpoints; index++) {
            working.add(endpoint(index, slots));
        }
        for (int index = 0; index < nodes; index++) {
            this.nodes.add(new Node("node-" + index));
        }
    }

    static RegisteredEndpoint endpoint(int index, int slots) {
        return new RegisteredEndpoint(
                new EndpointName(new PoolName("pool"), "endpoint-" + index, 1),
                "127.0.0.1:1",
                new AvailabilityZone("zone"),
                slots,
                false,
                Map.of());
    }

    /** Runs the replay until a time. Each account sends at its rate, at nodes chosen at random. */
    void runUntil(long end, Map<String, Double> perSecond) {
        // The iteration order of immutable maps differs between JVMs, and the random numbers are drawn in this order.
        List<String> accounts = perSecond.keySet().stream().sorted().toList();
        runUntil(end, (account, _node, _at) -> perSecond.get(account) / nodes.size(), accounts);
    }

    /** Runs the replay until a time, with a rate for each account and node. */
    void runUntil(long end, Rate rate, List<String> accounts) {
        for (; millis < end; millis++) {
            while (!agenda.isEmpty() && agenda.peek().at <= millis) {
                agenda.poll().action.run();
            }
            for (int node = 0; node < nodes.size(); node++) {
                for (String account : accounts) {
                    for (int count = poisson(rate.perSecond(account, node, millis) / 1000); count > 0; count--) {
                        Call call = new Call(account, millis);
                        calls.add(call);
                        nodes.get(node).arrive(call, AdmissionRequest.Stage.NEW);
                    }
                }
            }
            nodes.forEach(Node::advance);
        }
    }

    /** Removes endpoints, of which the nodes learn at once. Requests that run there are answered. */
    void remove(int count) {
        working.subList(working.size() - count, working.size()).clear();
        nodes.forEach(Node::advance);
    }

    int waiting() {
        return nodes.stream().mapToInt(node -> node.admission.waiting()).sum();
    }

    /** Returns the share of an account's calls that were answered within the latency target after their first send. */
    double servedInTarget(String account, long from, long to) {
        List<Call> own = calls.stream()
                .filter(call -> call.account.equals(account) && call.madeAt >= from && call.madeAt < to)
                .toList();
        long served = own.stream()
                .filter(call -> call.answeredAt >= 0 && call.answeredAt - call.madeAt <= terms.targetMillis)
                .count();
        return own.isEmpty() ? 1 : (double) served / own.size();
    }

    long answered(long from, long to) {
        return calls.stream()
                .filter(call -> call.answeredAt >= from && call.answeredAt < to)
                .count();
    }

    /** Returns a number that changes with the times, refusals and sends of any call. */
    int digest() {
        return calls.stream()
                .map(call -> List.of(call.account, call.madeAt, call.answeredAt, call.refusals, call.sends))
                .toList()
                .hashCode();
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    private void after(long delay, Runnable action) {
        agenda.add(new Scheduled(millis + Math.max(0, delay), sequence++, action));
    }

    private MonotonicTime now() {
        return time(millis);
    }

    private static MonotonicTime time(long millis) {
        return MonotonicTime.ZERO.plus(Duration.ofMillis(millis));
    }

    interface Rate {
        double perSecond(String account, int node, long millis);
    }

    record Terms(long workMillis, long targetMillis, long deadlineMillis) {}

    private record Scheduled(long at, long order, Runnable action) implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    /** One call of a caller, with its returns. */
    static final class Call {
        final String account;
        final long madeAt;
        long arrivedAt;
        long answeredAt = -1;
        int sends;
        int refusals;
        long longestWait;
        boolean attemptsUsedUp;
        final Set<EndpointName> tried = new HashSet<>();

        Call(String account, long madeAt) {
            this.account = account;
            this.madeAt = madeAt;
        }
    }

    private final class Node {
        private final EndpointSelection selection;
        private final PoolAdmission admission;
        private final Map<Long, Call> waiting = new HashMap<>();
        private long ids;

        Node(String name) {
            selection = new EndpointSelection(new AvailabilityZone("zone"), name);
            admission = new PoolAdmission(selection, PoolAdmission.Limits.DEFAULT);
        }

        private PoolSituation situation() {
            return new PoolSituation(working, nodes.size(), now());
        }

        private void arrive(Call call, AdmissionRequest.Stage stage) {
            if (stage == AdmissionRequest.Stage.NEW) {
                call.arrivedAt = millis;
                call.sends = 0;
                call.tried.clear();
            }
            if (immediate) {
                RegisteredEndpoint endpoint =
                        selection.choose(working, call.tried, now()).orElseThrow();
                selection.begin(endpoint);
                grant(call, endpoint);
                return;
            }
            ids++;
            waiting.put(ids, call);
            AdmissionRequest request = new AdmissionRequest(
                    ids,
                    new CallerName(call.account),
                    1,
                    1,
                    100,
                    new AdmissionRequest.Times(
                            time(call.arrivedAt),
                            now(),
                            time(call.madeAt + terms.deadlineMillis),
                            Duration.ofMillis(terms.targetMillis),
                            false),
                    stage,
                    call.tried);
            settle(admission.arrive(request, situation()));
        }

        private void advance() {
            settle(admission.advance(situation()));
        }

        private void settle(List<AdmissionVerdict> verdicts) {
            for (AdmissionVerdict verdict : verdicts) {
                Call call = waiting.remove(verdict.request().id());
                call.longestWait = Math.max(call.longestWait, millis - call.arrivedAt);
                if (verdict instanceof AdmissionVerdict.Granted granted) {
                    grant(call, granted.endpoint());
                } else {
                    refuse(call);
                }
            }
        }

        private void grant(Call call, RegisteredEndpoint endpoint) {
            call.sends++;
            call.tried.add(endpoint.name());
            sends++;
            after(NETWORK_MILLIS, () -> send(call, endpoint));
        }

        private void refuse(Call call) {
            call.refusals++;
            Duration remaining = time(call.madeAt + terms.deadlineMillis).since(now());
            Duration delay = immediate
                    ? RetryDelay.of(selection.timeUntilSlotIsFree(working, now()), random.nextDouble())
                    : admission.retryDelay(
                            new RetryReservations.Caller(new CallerName(call.account), 1, 1),
                            remaining,
                            situation(),
                            random.nextDouble());
            if (millis + delay.toMillis() + terms.workMillis < call.madeAt + terms.deadlineMillis) {
                Node next = nodes.get(random.nextInt(nodes.size()));
                after(delay.toMillis(), () -> next.arrive(call, AdmissionRequest.Stage.NEW));
            }
        }

        private void send(Call call, RegisteredEndpoint endpoint) {
            int load = running.getOrDefault(endpoint.name(), 0);
            if (load >= endpoint.slots() || !working.contains(endpoint)) {
                refusedSends++;
                after(NETWORK_MILLIS, () -> refused(call, endpoint));
                return;
            }
            running.put(endpoint.name(), load + 1);
            long startedAt = millis;
            after(terms.workMillis, () -> {
                int others = running.merge(endpoint.name(), -1, Integer::sum);
                after(NETWORK_MILLIS, () -> answered(call, endpoint, others + 1, millis - startedAt));
            });
        }

        private void refused(Call call, RegisteredEndpoint endpoint) {
            selection.end(endpoint);
            admission.end(new CallerName(call.account));
            admission.recordRefusal(endpoint, situation());
            if (immediate) {
                selection.recordFailure(endpoint, now());
            }
            if (call.sends < MAXIMUM_SENDS) {
                arrive(call, AdmissionRequest.Stage.REFUSED);
            } else {
                call.attemptsUsedUp = true;
                refuse(call);
            }
        }

        private void answered(Call call, RegisteredEndpoint endpoint, int load, long duration) {
            admission.recordLoad(endpoint, new ReportedLoad(load, 0, 1), situation());
            selection.recordLoad(endpoint, load, now());
            selection.end(endpoint);
            admission.end(new CallerName(call.account));
            admission.recordAnswer(endpoint, Duration.ofMillis(duration));
            selection.recordSuccess(endpoint, Duration.ofMillis(duration), now());
            call.answeredAt = millis;
        }
    }
}
