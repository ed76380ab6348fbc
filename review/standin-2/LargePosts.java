import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some callers post bodies that the configured limit allows, over links of 80 Mbit/s, while a trainer submits a small
 * step every 4 s. Each item of a step has to be listed, or to be at an engine, before the trainer gives up.
 */
final class LargePosts {
    private static final int POSTERS = 6;
    private static final int POST_BYTES = 16_000_000;
    /** The deadline of a large post, after which its client closes the connection. */
    private static final int POST_TIMEOUT_MILLIS = 8_000;

    private static final long POSTING_MILLIS = 40_000;
    private static final int ITEMS = 48;
    private static final int ENGINES = 8;
    private static final int ENGINE_SLOTS = 12;
    private static final long SLOTS = ENGINES * ENGINE_SLOTS;
    private static final long STEP_MILLIS = 4_000;

    /** When the trainer gives a step up: its deadline, and the time that clients wait longer than they allow. */
    private static final long GIVEN_UP_MILLIS = 13_500;

    /** When the last posts and reads have ended, after the time of posting, even if the gateway hangs. */
    private static final long LATEST_END_MILLIS = 20_000;

    /** How long an item may be at no engine. */
    private static final long IDLE_MILLIS = 5_000;

    public static void main(String[] arguments) {
        Site.main(arguments, LargePosts::play);
    }

    private static boolean play(Site site, boolean trouble) throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = site.engine("sampler", "m0", ENGINE_SLOTS);
            engine.events = 40;
            engine.eventMillis = 50;
        }
        site.engine("ledger", null, 6);
        site.engine("ledger", null, 6);
        site.configure(
                3,
                List.of(Site.rolloutRoute("roll", "sampler"), Site.plainRoute("post", "safe", "ledger", 3000, 400)),
                List.of(Site.modelService("sampler", "m0"), Site.plainService("ledger")));
        Gateway first = site.gateway("edge-salt-lake-1", 0.75);
        Gateway second = site.gateway("edge-new-town-1", 0.75);
        site.gateway("edge-howrah-1", 0.75);
        Site.require(site.start(), "the gateways are not ready");
        Thread.sleep(2000);
        long end = System.currentTimeMillis() + POSTING_MILLIS;
        AtomicInteger lost = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < POSTERS && trouble; i++) {
            int poster = i;
            threads.add(Wire.thread("poster", () -> {
                for (int n = 0; System.currentTimeMillis() < end; n++) {
                    String id = "l" + poster + "x" + n;
                    site.record("client posts " + POST_BYTES + " bytes as " + id + ": " + post(first.entry(), id));
                    Thread.sleep(300);
                }
            }));
        }
        for (int n = 0; System.currentTimeMillis() < end; n++) {
            String id = "step" + n + ".";
            long submitted = System.currentTimeMillis();
            Wire.Outcome outcome = Wire.call(
                    first.entry(),
                    "POST",
                    "/roll/j",
                    Site.headers(id, 4000) + "Content-Type: application/json\r\n",
                    Site.job(id, "/roll/", "m0", ITEMS, 10, 600),
                    4000);
            site.record("trainer submits " + id + ": " + outcome);
            if (outcome.status() == 202) {
                threads.add(Wire.thread("reader", () -> {
                    Thread.sleep(submitted + GIVEN_UP_MILLIS - System.currentTimeMillis());
                    lost.addAndGet(missing(site, second, id));
                }));
            }
            Thread.sleep(Math.max(0, submitted + STEP_MILLIS - System.currentTimeMillis()));
        }
        for (Thread thread : threads) {
            thread.join(Math.max(1, end + LATEST_END_MILLIS - System.currentTimeMillis()));
        }
        boolean answers = answers(site, first);
        site.record(lost + " accepted items were neither listed nor at an engine for " + IDLE_MILLIS
                + " ms when their steps ran out of time");
        return lost.get() == 0 && answers;
    }

    /** Returns whether a gateway that says that it is ready still answers, after the large posts have ended. */
    private static boolean answers(Site site, Gateway gateway) {
        boolean ready = gateway.isReady();
        Wire.Outcome plain = Wire.call(
                gateway.entry(), "POST", "/post/x", Site.headers("plain", 3000), new byte[600], 5000);
        Wire.Outcome job = Wire.call(
                gateway.entry(),
                "POST",
                "/roll/j",
                Site.headers("last", 4000) + "Content-Type: application/json\r\n",
                Site.job("last", "/roll/", "m0", 4, 1, 600),
                5000);
        site.record(gateway.name + ", after the large posts: " + (ready ? "ready" : "not ready") + ", process "
                + (gateway.process.isAlive() ? "runs" : "has ended") + "; a plain request: " + plain
                + "; a small batch job: " + job);
        return plain.status() == 200 && job.status() == 202;
    }

    /** Counts the items of a step that have no result, and have been at no engine for a while. */
    private static int missing(Site site, Gateway gateway, String id) {
        Set<String> listed = new HashSet<>();
        long total = Long.MAX_VALUE;
        for (int attempt = 0; attempt < 20 && listed.size() < total; attempt++) {
            Wire.Outcome outcome = Wire.call(
                    gateway.entry(),
                    "GET",
                    "/v1/lots/" + id + "?after=" + listed.size(),
                    Site.headers("r", 2000),
                    new byte[0],
                    3000);
            if (outcome.status() == 200) {
                Map<String, Object> page = Json.object(Json.read(outcome.answer().text()));
                total = (Long) page.get("total");
                Json.list(page.get("results"))
                        .forEach(result -> listed.add((String) Json.object(result).get("id")));
            }
        }
        long now = System.currentTimeMillis();
        long running = site.engines.stream().mapToLong(Engine::running).sum();
        int missing = 0;
        for (int i = 0; i < ITEMS; i++) {
            String item = id + String.format("%04x", i);
            long last = site.engines.stream()
                    .mapToLong(engine -> engine.ends.getOrDefault(item, 0L))
                    .max()
                    .orElse(0);
            if (!listed.contains(item) && last < now - IDLE_MILLIS && 2 * running < SLOTS) {
                missing++;
                site.record("item " + item + " is not listed, and its last run ended " + (now - last)
                        + " ms ago; " + running + " items run at " + SLOTS + " slots");
            }
        }
        site.record("trainer reads " + id + " as it gives it up: " + listed.size() + " of " + total + " listed");
        return missing;
    }

    /** Posts a body at the rate of a link of 80 Mbit/s. */
    private static String post(String entry, String id) {
        try (Socket socket = new Socket()) {
            socket.connect(Wire.parse(entry), 1000);
            socket.setSoTimeout(POST_TIMEOUT_MILLIS);
            Wire.thread("poster-timeout", () -> {
                Thread.sleep(POST_TIMEOUT_MILLIS);
                socket.close();
            });
            OutputStream out = socket.getOutputStream();
            out.write(("POST /post/x HTTP/1.1\r\n" + Site.headers(id, POST_TIMEOUT_MILLIS) + "Content-Length: " + POST_BYTES
                            + "\r\n\r\n")
                    .getBytes());
            byte[] chunk = new byte[80_000];
            for (int sent = 0; sent < POST_BYTES; sent += chunk.length) {
                out.write(chunk, 0, Math.min(chunk.length, POST_BYTES - sent));
                Thread.sleep(8);
            }
            Wire.Message answer = Wire.read(new BufferedInputStream(socket.getInputStream()), true);
            return answer == null ? "no answer" : "status " + answer.status();
        } catch (IOException | InterruptedException exception) {
            return "no answer";
        }
    }
}
