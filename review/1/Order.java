package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A gateway freezes and wakes again, and later the gateway that took over its job is killed. */
public final class Order {

    private static final int EVENTS = 170;
    private static final int ITEMS = 8;
    private static final String JOB = "7c41e09b52d6a3f8";

    private static final long FREEZE_AT_MILLIS = 4000;
    /** The longest freeze of a machine that carries traffic in the users' site files. */
    private static final long FREEZE_MILLIS = 4000;
    private static final long KILL_AFTER_MILLIS = 3500;
    private static final long RESTART_MILLIS = 500;

    private Order() {}

    public static void main(String[] arguments) throws IOException {
        Engine.events = EVENTS;
        Engine.eventMillis = 110;
        Case.run(arguments, Order::run);
    }

    private static int run(Site site, boolean trouble) throws IOException, InterruptedException {
        site.engines(4, 2);
        site.start(5);
        List<Gateways.Gateway> gateways = site.gateways.all;
        Gateways.Gateway first = gateways.get(3);
        Http.Answer accepted = Jobs.submit(first, JOB, ITEMS, 0);
        if (accepted == null || accepted.status() != 202) {
            return Case.NOT_RUN;
        }
        if (trouble) {
            Thread.sleep(FREEZE_AT_MILLIS);
            first.signal("STOP");
            Thread.sleep(FREEZE_MILLIS);
            first.signal("CONT");
            Thread.sleep(KILL_AFTER_MILLIS);
            Gateways.Gateway second = runner(site);
            Record.write("the job is now with " + second.name);
            second.signal("KILL");
            Thread.sleep(RESTART_MILLIS);
            site.gateways.start(second);
        }
        List<String> faults = new ArrayList<>();
        int position = 0;
        int reads = 0;
        long end = System.nanoTime() + 70_000_000_000L;
        while (position < ITEMS && System.nanoTime() < end) {
            JsonNode page = Jobs.read(gateways.get(reads++ % gateways.size()), JOB, position);
            if (page == null) {
                Thread.sleep(500);
                continue;
            }
            for (JsonNode result : page.path("results")) {
                position++;
                Record.write("result " + position + ": " + result.path("id").asText() + " "
                        + result.path("state").asText() + " versions " + result.path("versions") + " runs "
                        + runs(result));
                if (result.path("state").asText().equals("completed")) {
                    faults.addAll(Jobs.orderFaults(result, EVENTS));
                }
            }
            Thread.sleep(300);
        }
        faults.forEach(fault -> Record.write("ORDER broken: " + fault));
        if (position < ITEMS) {
            Record.write("only " + position + " results");
            return faults.isEmpty() ? Case.NOT_RUN : Case.BROKEN;
        }
        return faults.isEmpty() ? Case.HELD : Case.BROKEN;
    }

    private static String runs(JsonNode result) {
        StringBuilder text = new StringBuilder();
        String previous = "";
        for (String line : result.path("output").asText().split("\n", -1)) {
            String[] parts = line.split("/", -1);
            if (parts.length > 1 && !parts[1].equals(previous)) {
                text.append(parts[0]).append(":run").append(parts[1]).append(' ');
                previous = parts[1];
            }
        }
        return text.toString();
    }

    private static Gateways.Gateway runner(Site site) throws IOException {
        String entry = site.store.spec("batch-index", JOB);
        for (Gateways.Gateway gateway : site.gateways.all) {
            if (entry.contains(gateway.name)) {
                return gateway;
            }
        }
        throw new IOException("the job has no runner: " + entry);
    }
}
