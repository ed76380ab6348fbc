import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine gets SIGTERM. Callers that resolved the host shortly after it, and whose answer of the directory still
 * lists the machine, keep that answer for three times its validity, and start streams there more than 3 s after the
 * signal. The streams end before the grace time does.
 */
final class LateInStop {
    /** The time for which callers may use a machine after SIGTERM without the request counting, by the rule. */
    private static final long EXCUSED_MILLIS = 3000;

    /** The grace time, and the start of its last sixth. */
    private static final long GRACE_MILLIS = 8000;

    /** How many machines are stopped in turn, until a directory answer is late enough for the case. */
    private static final int ATTEMPTS = 4;

    private static final int EVENTS = 100;
    private static final int EVENT_MILLIS = 45;
    private static final int TIMEOUT_MILLIS = 10_000;

    public static void main(String[] arguments) {
        Site.main(arguments, LateInStop::play);
    }

    private static boolean play(Site site, boolean trouble) throws Exception {
        for (int i = 0; i < 2; i++) {
            Engine engine = site.engine("sampler", "m0", 12);
            engine.events = EVENTS;
            engine.eventMillis = EVENT_MILLIS;
        }
        Map<String, Object> route = Site.plainRoute("talk", "unsafe", "sampler", TIMEOUT_MILLIS, 400);
        route.put("streaming", true);
        route.put("sticky", true);
        site.configure(3, List.of(route), List.of(Site.modelService("sampler", "m0")));
        site.gateway("edge-salt-lake-1", 0.75);
        site.gateway("edge-new-town-1", 0.75);
        site.gateway("edge-howrah-1", 0.75);
        Site.require(site.start(), "the gateways are not ready");
        Thread.sleep(5000);
        for (Gateway gateway : site.gateways) {
            site.record("warm up: " + stream(site, gateway, "w" + gateway.name));
        }
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            Gateway stopped = site.gateways.get(attempt % site.gateways.size());
            Gateway other = site.gateways.get((attempt + 1) % site.gateways.size());
            Gateway third = site.gateways.get((attempt + 2) % site.gateways.size());
            int[] counts = stop(site, trouble, attempt, stopped, other, third);
            if (counts[0] > 0) {
                return counts[1] == 0;
            }
            site.record("no caller was told to use the machine late enough; the next machine is stopped");
            if (trouble) {
                stopped.process.waitFor(10, TimeUnit.SECONDS);
                stopped.start(site.gateways.stream().map(Gateway::peer).toList());
                Thread.sleep(6000);
            }
        }
        throw new IllegalStateException("no caller was told to use a stopping machine");
    }

    /** Stops a machine; returns how many callers sent requests late, and how many of these got no complete answer. */
    private static int[] stop(
            Site site, boolean trouble, int attempt, Gateway stopped, Gateway other, Gateway third) throws Exception {
        long stop = System.currentTimeMillis();
        if (trouble) {
            stopped.signal("TERM");
        }
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            // A caller every 10 ms resolves the host at one of the other machines, and keeps the answer.
            long resolved = System.currentTimeMillis();
            long validity = validity(i % 2 == 0 ? other : third, stopped);
            String id = "s" + attempt + "x" + i;
            long start = resolved + 3 * validity - 60;
            boolean late = start > stop + EXCUSED_MILLIS + 20 && start < stop + EXCUSED_MILLIS + 290;
            if (validity > 0 && late && sent.get() < 6) {
                sent.incrementAndGet();
                site.record("caller " + id + " resolved the host " + (resolved - stop)
                        + " ms after SIGTERM, and may use the machine until " + (resolved + 3 * validity - stop) + " ms");
                callers.add(Wire.thread("caller", () -> {
                    Thread.sleep(Math.max(0, start - System.currentTimeMillis()));
                    long at = System.currentTimeMillis() - stop;
                    String outcome = stream(site, stopped, id);
                    boolean passedOn = site.engines.stream().anyMatch(engine -> engine.runsOf(id) > 0);
                    site.record("caller " + id + " sent its request " + at + " ms after SIGTERM: " + outcome
                            + (passedOn ? ", passed on to an engine" : ", not passed on"));
                    if (passedOn && at > EXCUSED_MILLIS && !outcome.startsWith("complete")) {
                        broken.incrementAndGet();
                    }
                }));
            }
            Thread.sleep(Math.max(0, resolved + 10 - System.currentTimeMillis()));
        }
        for (Thread caller : callers) {
            caller.join(12_000);
        }
        Thread.sleep(Math.max(0, stop + GRACE_MILLIS - System.currentTimeMillis()));
        if (sent.get() > 0) {
            site.record(broken.get() + " of " + sent.get()
                    + " requests were read and passed on, and got no complete answer");
        }
        return new int[] {sent.get(), broken.get()};
    }

    /** Returns how long a directory answer that lists a machine is valid, in milliseconds, or 0 if it doesn't. */
    private static long validity(Gateway asked, Gateway listed) {
        Wire.Outcome outcome = Wire.call(
                asked.directory(),
                "GET",
                "/v1/resolve?name=" + Site.HOST + "&region=region&zone=zone-a",
                "Host: directory\r\n",
                new byte[0],
                1000);
        if (outcome.status() != 200) {
            return 0;
        }
        Map<String, Object> answer = Json.object(Json.read(outcome.answer().text()));
        double seconds = Math.min(5, ((Number) answer.get("ttl-s")).doubleValue());
        return Json.list(answer.get("addresses")).contains(listed.entry()) ? (long) (seconds * 1000) : 0;
    }

    /** Runs a stream, and returns how it ended. */
    private static String stream(Site site, Gateway gateway, String id) {
        Wire.Outcome outcome = Wire.call(
                gateway.entry(),
                "POST",
                "/talk/x",
                Site.headers(id, TIMEOUT_MILLIS) + "X-Model: m0\r\nX-Token-Counts: 271,100\r\n"
                        + "X-Prompt-Prefix: 9c2e41:255,5d07b8:16\r\n",
                new byte[600],
                11_000);
        boolean complete = outcome.status() == 200
                && outcome.answer().text().contains("id: " + EVENTS + "\n");
        return (complete ? "complete, " : "") + outcome;
    }
}
