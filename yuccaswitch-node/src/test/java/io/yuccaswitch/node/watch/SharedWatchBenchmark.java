package io.yuccaswitch.node.watch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.site.TestNode;
import io.yuccaswitch.core.site.TestSite;
import io.yuccaswitch.core.watch.SharedKindWatch;
import io.yuccaswitch.core.watch.SharedWatches;
import io.yuccaswitch.node.peer.PeerMessages;
import io.yuccaswitch.protocol.PeerMessageCodec;
import io.yuccaswitch.protocol.PeerTransportSettings;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Measures the load of one shared watch by the number of nodes of a region: calls to the platform, messages and bytes.
 * Decision cores run in memory with a simulated clock, and sizes are those of the encoded frames. It does not run with
 * the other tests.
 */
class SharedWatchBenchmark {

    private static final String KIND = "endpoint";
    private static final int OBJECT_COUNT = 35;
    private static final Duration MEASUREMENT_INTERVAL = Duration.ofSeconds(20);
    private static final Duration MAXIMUM_AGE = Duration.ofMillis(1200);

    /** A value with the size of a registry entry. */
    private static final String VALUE = "x".repeat(220);

    private final PeerMessageCodec codec =
            new PeerMessageCodec(PeerMessages.registry(), PeerTransportSettings.MAXIMUM_FRAME_LENGTH);

    @ParameterizedTest
    @CsvSource({"8,0", "8,10", "55,0", "55,10", "70,0", "70,10", "70,50", "72,0", "72,10"})
    void measure(int count, int changesPerSecond) {
        TestSite site = new TestSite();
        site.connect((_from, _to) -> false);
        for (int i = 0; i < OBJECT_COUNT; i++) {
            site.platform().put(KIND, "e" + i, VALUE);
        }
        List<TestNode> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(site.start("node-" + i, (node, tokens) -> {
                SharedKindWatch watch = new SharedWatches(node)
                        .watchWithin(KIND, PlatformPurpose.DISCOVERY, tokens, Duration.ofMillis(250), MAXIMUM_AGE);
                return List.of((DecisionSystem) watch::run);
            }));
        }
        site.run(Duration.ofSeconds(5));
        nodes.forEach(node -> node.take(PeerEffect.Send.class));
        int before = site.platform().log().size();
        long[] steps = {0};
        site.everyStep(_site -> {
            steps[0]++;
            if (changesPerSecond > 0 && steps[0] % (100 / changesPerSecond) == 0) {
                site.platform().put(KIND, "e" + steps[0] % OBJECT_COUNT, VALUE);
            }
        });
        site.run(MEASUREMENT_INTERVAL);
        List<Long> messages = new ArrayList<>();
        List<Long> bytes = new ArrayList<>();
        for (TestNode node : nodes) {
            List<PeerEffect.Send> sent = node.take(PeerEffect.Send.class);
            messages.add((long) sent.size());
            bytes.add(sent.stream()
                    .mapToLong(
                            send -> codec.encode(send.message()).orElseThrow().size())
                    .sum());
        }
        double seconds = MEASUREMENT_INTERVAL.toMillis() / 1000.0;
        messages.sort(null);
        bytes.sort(null);
        System.out.println(String.format(
                Locale.ROOT,
                "nodes=%d changes/s=%d calls/s=%.2f; sent by a follower (median) %.1f messages/s %.0f B/s;"
                        + " by the watcher (maximum) %.1f messages/s %.0f B/s",
                count,
                changesPerSecond,
                (site.platform().log().size() - before) / seconds,
                messages.get(count / 2) / seconds,
                bytes.get(count / 2) / seconds,
                messages.get(count - 1) / seconds,
                bytes.get(count - 1) / seconds));
    }
}
