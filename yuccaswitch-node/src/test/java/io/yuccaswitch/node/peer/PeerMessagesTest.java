package io.yuccaswitch.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.batch.BatchMessage;
import io.yuccaswitch.core.configuration.ConfigurationMessage;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.EndpointMessage;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.lease.LeaseMessage;
import io.yuccaswitch.core.membership.MembershipMessage;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.request.RequestMessage;
import io.yuccaswitch.core.sample.SampleMessage;
import io.yuccaswitch.core.watch.WatchMessage;
import io.yuccaswitch.core.weight.WeightMessage;
import io.yuccaswitch.protocol.PeerMessageRegistry;
import io.yuccaswitch.protocol.PeerTransport;
import io.yuccaswitch.protocol.PeerTransportSettings;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PeerMessagesTest {

    private static final PeerMessageRegistry REGISTRY = PeerMessages.registry();

    @ParameterizedTest
    @MethodSource("messageTypes")
    void everyMessageHasANumber(Class<? extends PeerMessage> type) {
        assertThat(REGISTRY.number(type)).isPresent();
    }

    @ParameterizedTest
    @MethodSource("messageTypes")
    void everyMessageArrivesUnchangedAtAnotherNode(Class<? extends PeerMessage> type) throws InterruptedException {
        PeerMessage message = type.cast(ArbitraryValues.of(type));
        BlockingQueue<Event> received = new LinkedBlockingQueue<>();
        try (PeerTransport to = transport("to", received);
                PeerTransport from = transport("from", new LinkedBlockingQueue<>())) {
            to.start();
            from.start();
            from.execute(new PeerEffect.SendToAddress(
                    "127.0.0.1:" + to.localAddress().getPort(), message));

            Event event = received.poll(10, TimeUnit.SECONDS);
            assertThat(event).isInstanceOf(PeerEvent.Received.class);
            assertThat(((PeerEvent.Received) event).message()).isEqualTo(message);
        }
    }

    static Stream<Class<?>> messageTypes() {
        return Stream.of(
                        BatchMessage.class,
                        ConfigurationMessage.class,
                        EndpointMessage.class,
                        LeaseMessage.class,
                        MembershipMessage.class,
                        RequestMessage.class,
                        SampleMessage.class,
                        WatchMessage.class,
                        WeightMessage.class)
                .flatMap(concept -> Arrays.stream(concept.getPermittedSubclasses()));
    }

    private static PeerTransport transport(String name, BlockingQueue<Event> events) {
        return new PeerTransport(
                PeerTransportSettings.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "site", "token"),
                REGISTRY,
                new NodeIdentity(new NodeName(name), 1),
                _node -> Optional.empty(),
                events::add,
                new MetricRegistry());
    }
}
