import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Four of five machines are removed for good at the same moment, one of them the runner of a step. The fifth one, the
 * store and all engines are sound. The items of the step have to go on there.
 */
final class LastMachine {
    private static final int ITEMS = 8;
    private static final int EVENTS = 280;
    private static final int EVENT_MILLIS = 50;

    /** When the machines are removed, after the submission. */
    private static final long REMOVED_MILLIS = 3_900;

    /** When the trainer's deadline passes, after the submission. */
    private static final long DEADLINE_MILLIS = 12_000;

    /** The time after a disruption that is not steady state (contact-ms). */
    private static final long CONTACT_MILLIS = 3_000;

    /** How long an item may be at no engine in steady state. */
    private static final long IDLE_MILLIS = 5_000;

    public static void main(String[] arguments) {
        Site.main(arguments, LastMachine::play);
    }

    private static boolean play(Site site, boolean trouble) throws Exception {
        for (int i = 0; i < 3; i++) {
            Engine engine = site.engine("sampler", "m0", 12);
            engine.events = EVENTS;
            engine.eventMillis = EVENT_MILLIS;
        }
        site.configure(3, List.of(Site.rolloutRoute("roll", "sampler")), List.of(Site.modelService("sampler", "m0")));
        List<Gateway> removed = new ArrayList<>();
        removed.add(site.gateway("edge-salt-lake-1", 0.75));
        removed.add(site.gateway("edge-new-town-1", 0.75));
        removed.add(site.gateway("edge-garia-1", 0.75));
        removed.add(site.gateway("edge-salt-lake-2", 0.75));
        Gateway left = site.gateway("edge-howrah-1", 0.75);
        Site.require(site.start(), "the gateways are not ready");
        Thread.sleep(6000);
        String id = "1d";
        long submitted = System.currentTimeMillis();
        Wire.Outcome outcome = Wire.call(
                removed.get(0).entry(),
                "POST",
                "/roll/j",
                Site.headers(id, 4000) + "Content-Type: application/json\r\n",
                Site.job(id, "/roll/", "m0", ITEMS, 2, 200),
                4000);
        site.record("trainer submits " + id + ": " + outcome);
        Site.require(outcome.status() == 202, "not accepted");
        Thread.sleep(submitted + REMOVED_MILLIS - System.currentTimeMillis());
        long removedAt = System.currentTimeMillis();
        if (trouble) {
            for (Gateway gateway : removed) {
                gateway.signal("KILL");
            }
        }
        Thread.sleep(submitted + DEADLINE_MILLIS - System.currentTimeMillis());
        long now = System.currentTimeMillis();
        site.record("the trainer's deadline passes");
        long running = site.engines.stream().mapToLong(Engine::running).sum();
        int idle = 0;
        for (int i = 0; i < ITEMS; i++) {
            String item = id + String.format("%04x", i);
            long end = site.engines.stream()
                    .mapToLong(engine -> engine.ends.getOrDefault(item, 0L))
                    .max()
                    .orElse(0);
            long since = Math.max(end, removedAt + CONTACT_MILLIS);
            if (end != Long.MAX_VALUE && now - since >= IDLE_MILLIS) {
                idle++;
                site.record("item " + item + " has been at no engine for " + (now - end) + " ms, " + (now - since)
                        + " ms of them steady");
            }
        }
        site.record(left.name + ": " + (left.isReady() ? "ready" : "not ready") + "; " + running
                + " items run at 36 slots");
        Thread.sleep(6000);
        for (Engine engine : site.engines) {
            synchronized (engine.runs) {
                engine.runs.stream()
                        .filter(run -> run.at() > removedAt)
                        .forEach(run -> site.record("later run of " + run.id() + ", " + (run.at() - removedAt)
                                + " ms after the removal"));
            }
        }
        Wire.Outcome results = Wire.call(
                left.entry(), "GET", "/v1/lots/" + id + "?after=0", Site.headers("r", 3000), new byte[0], 4000);
        Map<String, Object> page = Json.object(results.status() == 200 ? Json.read(results.answer().text()) : null);
        site.record("results at the end: " + Json.list(page.get("results")).size() + " of " + page.get("total"));
        site.record(idle + " items had been at no engine for " + IDLE_MILLIS + " ms of steady state or more");
        return idle == 0 || 2 * running >= 36;
    }
}
