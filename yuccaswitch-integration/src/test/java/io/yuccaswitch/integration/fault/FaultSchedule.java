package io.yuccaswitch.integration.fault;

import io.yuccaswitch.integration.site.Site;
import io.yuccaswitch.testkit.check.Observation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Injects seeded random faults, alone or in pairs, until an end time. */
final class FaultSchedule {

    private static final long MINIMUM_FAULT_MILLIS = 500;

    private static final long MAXIMUM_FAULT_MILLIS = 6_000;

    private static final long MINIMUM_PAUSE_MILLIS = 500;

    private static final long MAXIMUM_PAUSE_MILLIS = 3_000;

    private final Site site;

    private final Random random;

    private final List<Observation> observations = new ArrayList<>();

    private int count;

    FaultSchedule(Site site, long seed) {
        this.site = site;
        random = new Random(seed);
    }

    /** Injects faults until the end time, and heals all of them before it returns. */
    void run(long endMillis) throws InterruptedException {
        while (System.currentTimeMillis() < endMillis) {
            Thread.sleep(random.nextLong(MINIMUM_PAUSE_MILLIS, MAXIMUM_PAUSE_MILLIS));
            injectFaults();
        }
    }

    private void injectFaults() throws InterruptedException {
        List<Fault> faults = new ArrayList<>(List.of(Fault.draw(site, random)));
        if (random.nextBoolean()) {
            Fault second = Fault.draw(site, random);
            if (!second.target().equals(faults.get(0).target())) {
                faults.add(second);
            }
        }
        long durationMillis = random.nextLong(MINIMUM_FAULT_MILLIS, MAXIMUM_FAULT_MILLIS);
        long gapMillis = random.nextLong(MINIMUM_FAULT_MILLIS);
        for (Fault fault : faults) {
            count++;
            System.out.println("fault time=" + System.currentTimeMillis() + " " + fault);
            fault.begin();
            Thread.sleep(gapMillis);
        }
        Thread.sleep(durationMillis);
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
