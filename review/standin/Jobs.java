package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Calls about batch jobs, as a client makes them. */
final class Jobs {

    private Jobs() {}

    static Http.Answer submit(Gateways.Gateway gateway, String id, int items, long minimumVersion) throws IOException {
        ObjectNode job = Store.MAPPER.createObjectNode();
        job.put("step", 0).put("model", "m").put("min-version", minimumVersion).put("desired", items);
        for (int i = 0; i < items; i++) {
            ObjectNode item = job.withArray("items").addObject();
            item.put("id", id + "-" + i).put("path", "/rollouts/" + id + "/" + i);
            item.putObject("headers").put("X-Model", "m").put("X-Token-Counts", "271,1400")
                    .put("X-Prompt-Prefix", Integer.toHexString(i + 4096) + ":255," + id + i + ":16");
            item.put("body", "q83vEjRWeJA=").put("tokens", 1671).put("group", "g" + i);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Site.HOST);
        headers.put("X-Request-Id", id);
        headers.put("Content-Type", "application/json");
        headers.put("X-Timeout-Ms", "4000");
        Http.Answer answer = Http.call(
                gateway.entry, "POST", "/rollouts/" + id, headers, Store.MAPPER.writeValueAsBytes(job), 4000);
        Record.write("client: submits " + id + " with " + items + " items to " + gateway.name + " -> "
                + (answer == null ? "no answer" : answer.status()));
        return answer;
    }

    static Http.Answer end(Gateways.Gateway gateway, String id) {
        Http.Answer answer = Http.call(
                gateway.entry, "DELETE", "/v1/lots/" + id, Map.of("Host", Site.HOST), new byte[0], 4000);
        Record.write("client: ends " + id + " at " + gateway.name + " -> "
                + (answer == null ? "no answer" : answer.status()));
        return answer;
    }

    /** Reads results from a position. Returns null unless the answer is 200. */
    static JsonNode read(Gateways.Gateway gateway, String id, int after) throws IOException {
        Http.Answer answer = Http.call(
                gateway.entry,
                "GET",
                "/v1/lots/" + id + "?after=" + after,
                Map.of("Host", Site.HOST, "X-Wait-Ms", "1000"),
                new byte[0],
                2500);
        Record.write("client: reads " + id + " after " + after + " at " + gateway.name + " -> "
                + (answer == null ? "no answer" : answer.status() + " " + Site.shorten(answer.text())));
        return answer == null || answer.status() != 200 ? null : Store.MAPPER.readTree(answer.body());
    }

    /** Returns what is wrong with the text of a completed result, in the words of the rule ORDER, or an empty text. */
    static List<String> orderFaults(JsonNode result, int events) {
        List<String> faults = new ArrayList<>();
        String item = result.path("id").asText();
        long previous = 0;
        long previousRun = -1;
        for (String line : result.path("output").asText().split("\n", -1)) {
            String[] parts = line.split("/", -1);
            long event = Long.parseLong(parts[0]);
            long run = Long.parseLong(parts[1]);
            if (event != previous + 1) {
                faults.add(item + ": event " + event + " follows event " + previous);
            }
            if (run != previousRun) {
                Engine.Run made = Engine.ALL_RUNS.stream()
                        .filter(found -> found.number() == run)
                        .findFirst()
                        .orElseThrow();
                if (made.after() != previous) {
                    faults.add(item + ": the text goes on after event " + previous + " with run " + run
                            + ", which was asked with Last-Event-Id " + made.after());
                }
            }
            previous = event;
            previousRun = run;
        }
        if (previous != events) {
            faults.add(item + ": the text ends with event " + previous + " of " + events);
        }
        return faults;
    }
}
