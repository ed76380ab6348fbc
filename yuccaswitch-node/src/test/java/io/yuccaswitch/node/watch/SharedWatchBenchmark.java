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
 * Prints what one shared watch costs by the number of nodes of a region: calls to the platform, messages and bytes.
 * Cores are driven in memory with a hand-moved clock; sizes are those of the frames on the wire. It is not run with the
 * other tests.
 */
class SharedWatchBenchmark {

    private static final String KIND = "endpoint";
    private static final int OBJECTS = 35;
    private static final Duration WINDOW = Duration.ofSeconds(20);
    private static final Duration GREATEST_AGE = Duration.ofMillis(1200);

    /** As large as an entry of the registry. */
    private static final String VALUE = "x".repeat(220);

    private final PeerMessageCodec codec =
            new PeerMessageCodec(PeerMessages.registry(), PeerTransportSettings.MAXIMUM_FRAME_LENGTH);

    @ParameterizedTest
    @CsvSource({"8,0", "8,10", "55,0", "55,10", "70,0", "70,10", "70,50", "72,0", "72,10"})
    void measure(int count, int changesPerSecond) {
        TestSite site = new TestSite();
        site.connect((_from, _to) -> false);
        for (int i = 0; i < OBJECTS; i++) {
            site.platform().put(KIND, "e" + i, VALUE);
        }
        List<TestNode> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(site.start("node-" + i, (node, tokens) -> {
                SharedKindWatch watch = new SharedWatches(node)
                        .watchWithin(KIND, PlatformPurpose.DISCOVERY, tokens, Duration.ofMillis(250), GREATEST_AGE);
                return List.of((DecisionSystem) watch::run);
            }));
        }
        site.run(Duration.ofSeconds(5));
        nodes.forEach(node -> node.take(PeerEffect.Send.class));
        int before = site.platform().log().size();
        long[] change = {0};
        site.everyStep(_site -> {
            change[0]++;
            if (changesPerSecond > 0 && change[0] % (100 / changesPerSecond) == 0) {
                site.platform().put(KIND, "e" + change[0] % OBJECTS, VALUE);
            }
        });
        site.run(WINDOW);
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
        double seconds = WINDOW.toMillis() / 1000.0;
        messages.sort(null);
        bytes.sort(null);
        System.out.println(String.format(
                Locale.ROOT,
                "nodes=%d changes/s=%d calls/s=%.2f; sent by a follower (median) %.1f messages/s %.0f B/s;"
                        + " by a watching node (most) %.1f messages/s %.0f B/s",
                count,
                changesPerSecond,
                (site.platform().log().size() - before) / seconds,
                messages.get(count / 2) / seconds,
                bytes.get(count / 2) / seconds,
                messages.get(count - 1) / seconds,
                bytes.get(count - 1) / seconds));
    }
}
