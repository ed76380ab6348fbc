import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A machine is partitioned from the store. The operator adds a route for batch jobs. As soon as another machine serves
 * the route, a trainer submits a batch job there. The engines are sound all the time.
 */
final class NewRoute {
    /** The time from the start of the partition to the operator's change. */
    private static final long PAUSE_MILLIS = 150;

    public static void main(String[] arguments) {
        Site.main(arguments, NewRoute::play);
    }

    private static boolean play(Site site, boolean trouble) throws Exception {
        for (int i = 0; i < 4; i++) {
            site.engine("sampler", "m0", 12);
        }
        site.engine("ledger", null, 6);
        List<Object> routes = new ArrayList<>(List.of(
                Site.plainRoute("post", "safe", "ledger", 3000, 400), Site.rolloutRoute("old", "sampler")));
        List<Object> services = List.of(Site.modelService("sampler", "m0"), Site.plainService("ledger"));
        site.configure(3, routes, services);
        Gateway weak = site.gateway("edge-salt-lake-1", 0.36);
        Gateway strong = site.gateway("edge-new-town-1", 1.5);
        site.gateway("edge-howrah-1", 0.36);
        Site.require(site.start(), "the gateways are not ready");
        Thread.sleep(4000);
        submit(site, weak, "1d", "/old/");
        Thread.sleep(1500);
        if (trouble) {
            strong.platform.cut(true);
            site.record("gateway " + strong.name + " is partitioned from the store");
        }
        Thread.sleep(PAUSE_MILLIS);
        routes.add(Site.rolloutRoute("added", "sampler"));
        site.configure(7, routes, services);
        // The trainer starts as soon as a probing request shows that the machine has the configuration.
        long end = System.currentTimeMillis() + 2000;
        while (System.currentTimeMillis() < end) {
            Wire.Outcome probe = Wire.call(weak.entry(), "GET", "/added/", Site.headers("p", 1000), new byte[0], 1000);
            if (probe.status() != 404) {
                site.record("probe: " + probe);
                break;
            }
            Thread.sleep(20);
        }
        submit(site, weak, "2d", "/added/");
        Thread.sleep(6500);
        if (trouble) {
            strong.platform.cut(false);
            site.record("the partition has healed");
        }
        Thread.sleep(3000);
        return read(site, weak, "1d") & read(site, weak, "2d");
    }

    private static void submit(Site site, Gateway gateway, String id, String path) {
        Wire.Outcome outcome = Wire.call(
                gateway.entry(),
                "POST",
                path + "j",
                Site.headers(id, 4000) + "Content-Type: application/json\r\n",
                Site.job(id, path, "m0", 16, 4, 200),
                4000);
        site.record("trainer submits " + id + ": " + outcome);
        Site.require(outcome.status() == 202, "not accepted");
    }

    /** Reads all results of a job; returns whether none was given up. */
    private static boolean read(Site site, Gateway gateway, String id) {
        Wire.Outcome outcome = Wire.call(
                gateway.entry(),
                "GET",
                "/v1/lots/" + id + "?after=0",
                Site.headers("r", 4000) + "X-Wait-Ms: 1000\r\n",
                new byte[0],
                4000);
        Map<String, Object> page = Json.object(Json.read(outcome.answer().text()));
        int errored = 0;
        int completed = 0;
        for (Object result : Json.list(page.get("results"))) {
            if ("errored".equals(Json.object(result).get("state"))) {
                errored++;
            } else {
                completed++;
            }
        }
        site.record("results of " + id + ": " + completed + " completed, " + errored + " errored of " + page.get("total"));
        return errored == 0;
    }
}
