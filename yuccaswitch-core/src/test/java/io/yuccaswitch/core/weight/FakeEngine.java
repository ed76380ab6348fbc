package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A fake engine that executes each order after the load time. */
final class FakeEngine {

    final Map<String, Long> versions = new TreeMap<>();

    final List<Applied> applied = new ArrayList<>();

    final List<Load> loads = new ArrayList<>();

    Duration loadTime = Duration.ofSeconds(1);

    boolean checksFencing;

    boolean failing;

    boolean acceptsWithoutLoading;

    boolean reachable = true;

    int orders;

    int incarnation = 1;

    /** The scheduler of loads at the weight store, which has no rate limit unless a benchmark sets one. */
    LoadScheduler loadScheduler = (now, time) -> now.plus(time);

    private final Map<String, Long> initial = new HashMap<>();

    private long highestFencingNumber;

    FakeEngine(Map<String, Long> initial) {
        this.initial.putAll(initial);
        versions.putAll(initial);
    }

    void beginLoad(WeightEffect.Order order, String node, MonotonicTime now) {
        orders++;
        loads.add(new Load(order, node, loadScheduler.reserve(now, loadTime), admits(order)));
    }

    List<Ended> finishLoads(MonotonicTime now) {
        List<Ended> ended = new ArrayList<>();
        for (Load load : List.copyOf(loads)) {
            if (!now.isBefore(load.endsAt())) {
                loads.remove(load);
                ended.add(new Ended(load.node(), load.order(), applyOrder(load, now)));
            }
        }
        return ended;
    }

    void restart() {
        incarnation++;
        loads.clear();
        versions.clear();
        versions.putAll(initial);
    }

    private OrderResult applyOrder(Load load, MonotonicTime now) {
        if (!load.admitted() || !admits(load.order())) {
            return OrderResult.FENCED;
        }
        if (failing) {
            return OrderResult.FAILED;
        }
        if (!acceptsWithoutLoading) {
            versions.put(load.order().model(), load.order().version());
            applied.add(new Applied(
                    load.order().fencingNumber(), load.node(), load.order().version(), now));
        }
        return OrderResult.ACCEPTED;
    }

    private boolean admits(WeightEffect.Order order) {
        boolean outdated = order.fencingNumber() < highestFencingNumber;
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        return !outdated || !checksFencing;
    }

    record Load(WeightEffect.Order order, String node, MonotonicTime endsAt, boolean admitted) {}

    record Ended(String node, WeightEffect.Order order, OrderResult result) {}

    record Applied(long fencingNumber, String node, long version, MonotonicTime at) {}

    interface LoadScheduler {

        MonotonicTime reserve(MonotonicTime now, Duration loadTime);
    }
}
