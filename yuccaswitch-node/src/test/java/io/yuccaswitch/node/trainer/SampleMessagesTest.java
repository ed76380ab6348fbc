package io.yuccaswitch.node.trainer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.sample.FinishedGroup;
import io.yuccaswitch.core.sample.GroupKey;
import io.yuccaswitch.core.sample.GroupSpecification;
import io.yuccaswitch.core.sample.Sample;
import io.yuccaswitch.core.sample.SampleMessage;
import io.yuccaswitch.node.peer.PeerMessages;
import io.yuccaswitch.protocol.PeerTransport;
import io.yuccaswitch.protocol.PeerTransportSettings;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

final class SampleMessagesTest {

    private static final TrainerName TRAINER = new TrainerName("matcher");
    private static final GroupKey KEY = new GroupKey(TRAINER, 3, 7);
    private static final FinishedGroup GROUP = new FinishedGroup(
            KEY,
            2,
            List.of(new Sample(
                    0, "text", List.of(new Generation.Segment(5, 10), new Generation.Segment(6, 2)), 0.5, true)));

    @Test
    void everyMessageArrivesUnchanged() {
        List<PeerMessage> received = new CopyOnWriteArrayList<>();
        NodeName name = new NodeName("vm-1");
        AtomicReference<InetSocketAddress> address = new AtomicReference<>();
        try (PeerTransport transport = new PeerTransport(
                PeerTransportSettings.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "test", "token"),
                PeerMessages.registry(),
                new NodeIdentity(name, 1),
                _node -> Optional.of(address.get()),
                event -> received.add(((PeerEvent.Received) event).message()),
                new MetricRegistry())) {
            address.set(transport.localAddress());
            transport.start();
            messages().forEach(message -> transport.execute(new PeerEffect.Send(name, message)));

            await().until(() -> received.size() == messages().size());
        }
        assertThat(received).isEqualTo(messages());
    }

    static List<SampleMessage> messages() {
        return List.of(
                new SampleMessage.Store(new GroupSpecification(KEY, "prompt", 8, 512, PriorityClass.NORMAL), true),
                new SampleMessage.Stored(KEY),
                new SampleMessage.StoreRefused(KEY, "groups-in-progress", 1000),
                new SampleMessage.Keep(GROUP),
                new SampleMessage.Kept(KEY),
                new SampleMessage.Reconcile(TRAINER, List.of(KEY)),
                new SampleMessage.Reconciled(TRAINER, List.of(KEY), List.of(), "cursor"),
                new SampleMessage.Discarded(KEY, 2, "stale"),
                new SampleMessage.Pull(9, TRAINER, "", 6, SampleMessage.ANY_STEP, 16, 2000),
                new SampleMessage.PullAnswered(9, "cursor", List.of(GROUP), 4),
                new SampleMessage.PullRefused(9, "cursor-unknown", "why", 1000),
                new SampleMessage.Acknowledge(TRAINER, "cursor", true, false),
                new SampleMessage.QueryCursor(TRAINER),
                new SampleMessage.CursorAnswered(TRAINER, "cursor", true),
                new SampleMessage.Progress(TRAINER, 3, 6));
    }
}
