import java.util.ArrayList;
import java.util.List;

/**
 * A trainer submits a batch job of 1,024 items whose body is within the configured limit, once at one machine and, after
 * an answer that promises nothing, once more at another one. Later the operator adds a route, which all machines have to
 * serve.
 */
final class LargeJob {
    private static final int ITEMS = 1024;
    private static final int BODY_BYTES = 12_000;

    /** The time in which a machine without disruption counts as in touch, and the bound of a configuration. */
    private static final long CONTACT_MILLIS = 3000;

    private static final long APPLY_MILLIS = 2000;

    public static void main(String[] arguments) {
        Site.main(arguments, LargeJob::play);
    }

    private static boolean play(Site site, boolean trouble) throws Exception {
        for (int i = 0; i < 3; i++) {
            site.engine("sampler", "m0", 12);
        }
        site.engine("ledger", null, 6);
        site.engine("ledger", null, 6);
        List<Object> services = List.of(Site.modelService("sampler", "m0"), Site.plainService("ledger"));
        List<Object> routes = new ArrayList<>(List.of(
                Site.rolloutRoute("roll", "sampler"), Site.plainRoute("post", "safe", "ledger", 3000, 400)));
        site.configure(3, routes, services);
        Gateway first = site.gateway("edge-salt-lake-1", 0.75);
        Gateway second = site.gateway("edge-new-town-1", 0.75);
        Gateway third = site.gateway("edge-howrah-1", 0.75);
        Site.require(site.start(), "the gateways are not ready");
        Thread.sleep(3000);
        submit(site, third, "1d", Site.job("1d", "/roll/", "m0", 16, 4, 600));
        Thread.sleep(2500);
        for (Gateway gateway : site.gateways) {
            read(site, gateway);
            post(site, gateway, "/post/x");
        }
        if (trouble) {
            byte[] job = Site.job("2d", "/roll/", "m0", ITEMS, 200, BODY_BYTES);
            site.record("the trainer's next job has " + job.length + " bytes, of 33554432 that are allowed");
            if (submit(site, first, "2d", job) != 202) {
                submit(site, second, "2d", job);
            }
        }
        Thread.sleep(CONTACT_MILLIS + 500);
        routes.add(Site.plainRoute("added", "safe", "ledger", 3000, 400));
        site.configure(7, routes, services);
        Thread.sleep(APPLY_MILLIS + 500);
        int old = 0;
        for (Gateway gateway : site.gateways) {
            boolean ready = gateway.isReady();
            site.record(gateway.name + ": process " + (gateway.process.isAlive() ? "runs" : "has ended") + ", "
                    + (ready ? "ready" : "not ready"));
            for (int i = 0; i < 3; i++) {
                old += post(site, gateway, "/added/x") == 404 ? 1 : 0;
            }
            post(site, gateway, "/post/x");
            read(site, gateway);
        }
        site.record(old + " requests on the added route were refused with 404, more than " + APPLY_MILLIS
                + " ms after its configuration was acknowledged");
        return old == 0;
    }

    private static int submit(Site site, Gateway gateway, String id, byte[] job) {
        Wire.Outcome outcome = Wire.call(
                gateway.entry(),
                "POST",
                "/roll/j",
                Site.headers(id, 6000) + "Content-Type: application/json\r\n",
                job,
                6000);
        site.record("trainer submits " + id + " to " + gateway.name + ": " + outcome);
        return outcome.status();
    }

    private static int post(Site site, Gateway gateway, String path) {
        String id = "p" + Long.toHexString(System.nanoTime());
        Wire.Outcome outcome =
                Wire.call(gateway.entry(), "POST", path, Site.headers(id, 2000), new byte[600], 3000);
        site.record("client sends " + id + " on " + path + " to " + gateway.name + ": " + outcome);
        return outcome.status();
    }

    private static void read(Site site, Gateway gateway) {
        Wire.Outcome outcome = Wire.call(
                gateway.entry(),
                "GET",
                "/v1/lots/1d?after=0",
                Site.headers("r", 3000) + "X-Wait-Ms: 1000\r\n",
                new byte[0],
                4000);
        int results = outcome.status() == 200
                ? Json.list(Json.object(Json.read(outcome.answer().text())).get("results")).size()
                : 0;
        site.record("trainer reads 1d at " + gateway.name + ": " + outcome + ", " + results + " results");
    }
}
