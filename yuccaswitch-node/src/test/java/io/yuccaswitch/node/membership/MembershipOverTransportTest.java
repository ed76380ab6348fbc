package io.yuccaswitch.node.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.disposables.Disposable;
import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.distribution.ConfigurationState;
import io.yuccaswitch.core.configuration.distribution.ConfigurationSystem;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipOptions;
import io.yuccaswitch.core.membership.MembershipSystem;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.node.configuration.ConfigurationService;
import io.yuccaswitch.node.configuration.EnvelopeDecoder;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.disk.SnapshotFile;
import io.yuccaswitch.node.peer.LearnedAddresses;
import io.yuccaswitch.node.peer.PeerMessages;
import io.yuccaswitch.protocol.PeerTransport;
import io.yuccaswitch.protocol.PeerTransportSettings;
import io.yuccaswitch.settings.ConfigurationDocument;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MembershipOverTransportTest {

    private final List<Node> nodes = new ArrayList<>();

    @TempDir
    private Path folder;

    @AfterEach
    void close() {
        nodes.forEach(Node::close);
    }

    @Test
    void nodesJoinShareAConfigurationAndDetectADeadNodeOverTcpWhileThePlatformIsDown() {
        Node first = node("vm-0", List.of());
        Node second = node("vm-1", List.of(first.address()));
        Node third = node("vm-2", List.of(first.address()));
        await().atMost(Duration.ofSeconds(20)).until(() -> nodes.stream().allMatch(node -> node.working() == 3));

        first.loop.accept(new ConfigurationEvent.SnapshotFound(envelope(4)));
        await().atMost(Duration.ofSeconds(10))
                .until(() -> nodes.stream().allMatch(node -> node.configuration.generation() == 4));
        assertThat(new SnapshotFile(folder.resolve("vm-2/configuration.snapshot")).read())
                .satisfiesAnyOf(value -> assertThat(value).contains(envelope(4)), value -> assertThat(value)
                        .isEmpty());

        third.close();
        await().atMost(Duration.ofSeconds(30)).until(() -> first.working() == 2 && second.working() == 2);
    }

    private Node node(String name, List<String> seeds) {
        Node node = new Node(name, seeds, folder.resolve(name));
        nodes.add(node);
        return node;
    }

    private static Bytes envelope(long generation) {
        return new ConfigurationDocument(
                        generation, "change", "rina", Instant.EPOCH, Bytes.ofUtf8("{\"site\": \"padma\"}"))
                .encode();
    }

    private static final class Node {

        private final ConfigurationState configuration = new ConfigurationState();
        private final LearnedAddresses addresses = new LearnedAddresses();
        private final AtomicReference<DecisionLoop> loopReference = new AtomicReference<>();
        private final PeerTransport transport;
        private final MembershipSystem membership;
        private final DecisionLoop loop;
        private final ConfigurationService service;
        private final Disposable platform;

        Node(String name, List<String> seeds, Path data) {
            NodeIdentity identity = new NodeIdentity(new NodeName(name), System.currentTimeMillis());
            transport = new PeerTransport(
                    PeerTransportSettings.of(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), "padma", "secret"),
                    PeerMessages.registry(),
                    identity,
                    addresses,
                    event -> loopReference.get().accept(event),
                    new MetricRegistry());
            Member self = new Member(
                    identity, new AvailabilityZone("garia"), "kolkata", address(), "e", "o", MemberCondition.ALIVE);
            PlatformTokens tokens = new PlatformTokens();
            membership = new MembershipSystem(self, seeds, configuration, tokens, MembershipOptions.DEFAULT);
            loop = new DecisionLoop(
                    new DecisionCore(
                            List.of(membership, new ConfigurationSystem(configuration, membership, tokens)), 1),
                    () -> {});
            loopReference.set(loop);
            service = new ConfigurationService(
                    loop, new EnvelopeDecoder.OfDocument(), Optional.of(data), new MetricRegistry());
            service.start();
            new MembershipService(loop, transport, addresses).start();
            platform = loop.effects(PlatformEffect.class)
                    .subscribe(call -> loop.accept(new PlatformEvent.Unavailable(call.token(), false, "down")));
            transport.start();
            loop.start();
        }

        String address() {
            return "127.0.0.1:" + transport.localAddress().getPort();
        }

        long working() {
            return loop.inspect(() -> membership.working().size()).join();
        }

        void close() {
            loop.close();
            transport.close();
            service.close();
            platform.dispose();
        }
    }
}
