package io.yuccaswitch.integration.fault;

import io.yuccaswitch.integration.site.Site;
import io.yuccaswitch.testkit.check.Observation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Lets faults strike alone or in pairs, at random but by a seed, until an end. */
final class FaultSchedule {

    private static final long SHORTEST_MILLIS = 500;

    private static final long LONGEST_MILLIS = 6_000;

    private static final long SHORTEST_REST_MILLIS = 500;

    private static final long LONGEST_REST_MILLIS = 3_000;

    private final Site site;

    private final Random random;

    private final List<Observation> observations = new ArrayList<>();

    private int count;

    FaultSchedule(Site site, long seed) {
        this.site = site;
        random = new Random(seed);
    }

    /** Runs until the end, and heals all before it returns. */
    void run(long endMillis) throws InterruptedException {
        while (System.currentTimeMillis() < endMillis) {
            Thread.sleep(random.nextLong(SHORTEST_REST_MILLIS, LONGEST_REST_MILLIS));
            strike();
        }
    }

    private void strike() throws InterruptedException {
        List<Fault> faults = new ArrayList<>(List.of(Fault.draw(site, random)));
        if (random.nextBoolean()) {
            Fault second = Fault.draw(site, random);
            if (!second.target().equals(faults.get(0).target())) {
                faults.add(second);
            }
        }
        long first = random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS);
        long gap = random.nextLong(SHORTEST_MILLIS);
        for (Fault fault : faults) {
            count++;
            System.out.println("fault time=" + System.currentTimeMillis() + " " + fault);
            fault.begin();
            Thread.sleep(gap);
        }
        Thread.sleep(first);
        Collections.shuffle(faults, random);
        for (Fault fault : faults) {
            fault.heal().ifPresent(observations::add);
            System.out.println("healed time=" + System.currentTimeMillis() + " " + fault);
        }
    }

    int count() {
        return count;
    }

    List<Observation> observations() {
        return observations;
    }
}
