package io.yuccaswitch.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerTransportTest {

    private static final PeerMessageRegistry REGISTRY = PeerMessageRegistry.builder()
            .register(PeerMessageRange.REQUEST, 40, Text.class)
            .build();

    private static final long DRIP_INTERVAL_MILLIS = 100;

    private final Map<NodeName, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final List<Node> nodes = new ArrayList<>();

    @AfterEach
    void close() {
        nodes.forEach(node -> node.transport.close());
    }

    @Test
    void messagesArriveInOrderWithTheIdentityOfTheirSender() {
        Node a = node("a", 3);
        Node b = node("b", 4);
        for (int i = 0; i < 500; i++) {
            a.send("b", "message " + i);
        }

        await().until(() -> b.received.size() == 500);
        assertThat(b.received.get(499))
                .isEqualTo(new PeerEvent.Received(new NodeIdentity(new NodeName("a"), 3), new Text("message 499")));
        assertThat(a.counter("peer.messages.undeliverable")).isZero();
    }

    @Test
    void aMessageOfSevenMegabytesArrivesComplete() {
        Node a = node("a", 1);
        Node b = node("b", 1);
        String text = "x".repeat(7_000_000);
        a.send("b", text);
        a.send("b", "after");

        await().until(() -> b.received.size() == 2);
        assertThat(b.received.get(0).message()).isEqualTo(new Text(text));
    }

    @Test
    void aNodeReceivesAMessageToItself() {
        Node a = node("a", 1);
        a.send("a", "self");
        await().until(() -> a.received.size() == 1);
    }

    @Test
    void aMessageToAnAddressReachesTheNodeThatListensThere() {
        Node a = node("a", 1);
        Node b = node("b", 1);
        a.transport.execute(new PeerEffect.SendToAddress(
                "127.0.0.1:" + b.transport.localAddress().getPort(), new Text("hello")));
        await().until(() -> b.received.size() == 1);
    }

    @Test
    void aMessageForANodeWhoseAddressNowBelongsToAnotherNodeIsUndeliverable() {
        Node a = node("a", 1);
        Node b = node("b", 1);
        addresses.put(new NodeName("c"), b.transport.localAddress());
        a.send("c", "for c");

        await().until(() -> a.undeliverable.size() == 1);
        assertThat(b.received).isEmpty();
    }

    @Test
    void aConnectionThatSilentlyFailsIsReplacedWithinSeconds() throws IOException {
        Node a = node("a", 1);
        Node b = node("b", 1);
        try (SilencingRelay relay = new SilencingRelay(b.transport.localAddress())) {
            addresses.put(new NodeName("b"), relay.address());
            a.send("b", "before");
            await().until(() -> b.received.size() == 1);
            await().until(() -> relay.answeredBytes() > 0);
            relay.silenceOpenConnections();
            await().atMost(Duration.ofSeconds(10)).until(() -> {
                a.send("b", "after");
                Thread.sleep(100);
                return b.received.size() > 1;
            });
        }
    }

    @Test
    void aConnectionWithoutTrafficIsReused() throws IOException, InterruptedException {
        Node a = node("a", 1);
        Node b = node("b", 1);
        try (SilencingRelay relay = new SilencingRelay(b.transport.localAddress())) {
            addresses.put(new NodeName("b"), relay.address());
            a.send("b", "one");
            await().until(() -> b.received.size() == 1);
            Thread.sleep(2500);
            a.send("b", "two");
            await().until(() -> b.received.size() == 2);
            assertThat(relay.connections()).isEqualTo(1);
        }
    }

    @Test
    void messagesToANodeThatDoesNotListenAreUndeliverableUntilItListens() throws IOException {
        Node a = node("a", 1);
        InetSocketAddress unusedAddress = unusedAddress();
        addresses.put(new NodeName("b"), unusedAddress);
        a.send("b", "lost");
        await().until(() -> a.undeliverable.size() == 1);

        Node b = node("b", 1, settings -> withAddress(settings, unusedAddress));
        await().until(() -> {
            a.send("b", "again");
            return !b.received.isEmpty();
        });
        assertThat(b.received).allMatch(event -> event.message().equals(new Text("again")));
    }

    @Test
    void aRestartedNodeReceivesMessages() {
        Node a = node("a", 1);
        Node b = node("b", 1);
        a.send("b", "first");
        await().until(() -> b.received.size() == 1);
        InetSocketAddress address = b.transport.localAddress();
        b.transport.close();

        await().until(() -> {
            Optional<Node> again = tryNode("b", address);
            again.ifPresent(nodes::add);
            return again.isPresent();
        });
        Node restarted = nodes.get(nodes.size() - 1);
        await().until(() -> {
            a.send("b", "second");
            return !restarted.received.isEmpty();
        });
    }

    @Test
    void aNewIdentityIsSentInTheGreeting() {
        Node a = node("a", 1);
        Node b = node("b", 1);
        a.send("b", "old");
        await().until(() -> b.received.size() == 1);
        a.transport.identify(new NodeIdentity(new NodeName("a"), 9));
        a.send("b", "new");
        await().until(() -> b.received.size() == 2);
        assertThat(b.received.get(1).sender().incarnation()).isEqualTo(9);
    }

    @Test
    void aPeerWithAnotherTokenOrSiteIsDisconnected() {
        Node b = node("b", 1);
        Node stranger = node("s", 1, settings -> withSiteAndToken(settings, "padma", "wrong"));
        Node elsewhere = node("e", 1, settings -> withSiteAndToken(settings, "isomero", "secret"));
        stranger.send("b", "let me in");
        elsewhere.send("b", "let me in");

        await().until(() -> b.counter("peer.cut-off.unwelcome") == 2);
        await().until(() -> stranger.undeliverable.size() == 1 && elsewhere.undeliverable.size() == 1);
        assertThat(b.received).isEmpty();
    }

    @Test
    void aPeerThatSendsMalformedBytesIsDisconnectedAndOthersAreNotAffected() throws IOException {
        Node a = node("a", 1);
        Node b = node("b", 1);
        assertThat(isDisconnectedAfter(b, "GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII)))
                .isTrue();
        assertThat(isDisconnectedAfter(
                        b, ByteBuffer.allocate(5).putInt(100).put((byte) 9).array()))
                .isTrue();
        assertThat(isDisconnectedAfter(b, Frame.encode(40, new byte[10]).unsafeArray()))
                .isTrue();
        assertThat(b.counter("peer.cut-off.oversized") + b.counter("peer.cut-off.unknown-version"))
                .isEqualTo(2);
        assertThat(b.counter("peer.cut-off.unwelcome")).isEqualTo(1);

        a.send("b", "still here");
        await().until(() -> b.received.size() == 1);
    }

    @Test
    void anUndecodableMessageDisconnectsAnAuthenticatedPeerAndAnUnknownTypeIsSkipped() throws IOException {
        Node b = node("b", 1);
        PeerMessageCodec codec = new PeerMessageCodec(REGISTRY, 1000);
        byte[] greeting = codec.encode(new Greeting(new NodeIdentity(new NodeName("x"), 1), "padma", "secret"))
                .unsafeArray();
        byte[] unknown = Frame.encode(77, new byte[3]).unsafeArray();
        byte[] known = codec.encode(new Text("known")).orElseThrow().unsafeArray();
        byte[] broken = Frame.encode(40, new byte[] {(byte) 0xC1}).unsafeArray();

        assertThat(isDisconnectedAfter(b, concat(greeting, unknown, known, broken)))
                .isTrue();
        assertThat(b.received).hasSize(1);
        assertThat(b.counter("peer.messages.unknown-type")).isEqualTo(1);
        assertThat(b.counter("peer.cut-off.malformed")).isEqualTo(1);
    }

    @Test
    void aPeerThatNeverGreetsIsDisconnected() throws IOException {
        Node b = node("b", 1, PeerTransportTest::withShortTimeouts);
        assertThat(isDisconnectedAfter(b, new byte[0])).isTrue();
        assertThat(b.counter("peer.cut-off.unwelcome")).isEqualTo(1);
    }

    /** Guards against peers that hold a connection by sending a greeting byte by byte. */
    @Test
    void aPeerWhoseGreetingDripsIsDisconnectedAtTheTimeout() throws IOException, InterruptedException {
        Node b = node("b", 1, PeerTransportTest::withShortTimeouts);
        byte[] greeting = new PeerMessageCodec(REGISTRY, 1000)
                .encode(new Greeting(new NodeIdentity(new NodeName("x"), 1), "padma", "secret"))
                .unsafeArray();
        long startedAt = System.nanoTime();
        try (Socket socket = new Socket(
                b.transport.localAddress().getAddress(),
                b.transport.localAddress().getPort())) {
            for (byte next : greeting) {
                if (b.counter("peer.cut-off.unwelcome") > 0) {
                    break;
                }
                socket.getOutputStream().write(next);
                TimeUnit.MILLISECONDS.sleep(DRIP_INTERVAL_MILLIS);
            }
        } catch (SocketException _exception) {
            // The node has closed the connection.
        }
        assertThat(b.counter("peer.cut-off.unwelcome")).isEqualTo(1);
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt))
                .as("the time of the greeting if it were awaited")
                .isLessThan(Duration.ofMillis(DRIP_INTERVAL_MILLIS * greeting.length));
    }

    @Test
    void anIdleConnectionIsClosedAndReopenedWhenNeeded() {
        Node a = node("a", 1, PeerTransportTest::withShortTimeouts);
        Node b = node("b", 1, PeerTransportTest::withShortTimeouts);
        a.send("b", "first");
        await().until(() -> b.received.size() == 1);
        await().until(() -> a.counter("peer.connections") == 0 && b.counter("peer.connections") == 0);
        a.send("b", "second");
        await().until(() -> b.received.size() == 2);
    }

    @Test
    void forAPeerThatDoesNotReadTheOldestMessagesAreDroppedAndTheConnectionFails() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Node a = node("a", 1, PeerTransportTest::withSmallQueue);
            addresses.put(new NodeName("b"), (InetSocketAddress) silent.getLocalSocketAddress());
            for (int i = 0; i < 20; i++) {
                a.send("b", "message " + i);
            }
            await().until(() -> a.counter("peer.messages.dropped") == 12);
            await().until(() -> a.undeliverable.size() == 20);
            assertThat(a.undeliverable.get(0).message()).isEqualTo(new Text("message 0"));
        }
    }

    private static boolean isDisconnectedAfter(Node node, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(
                node.transport.localAddress().getAddress(),
                node.transport.localAddress().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(bytes);
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
            return true;
        } catch (SocketTimeoutException _exception) {
            return false;
        } catch (SocketException _exception) {
            return true;
        }
    }

    private static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    /**
     * Returns an address with an IP that outgoing connections do not use, so none takes its port before a node does.
     */
    private static InetSocketAddress unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.2"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private Node node(String name, long incarnation) {
        return node(name, incarnation, settings -> settings);
    }

    private Node node(String name, long incarnation, UnaryOperator<PeerTransportSettings> change) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Node node = new Node(name, incarnation, change.apply(PeerTransportSettings.of(any, "padma", "secret")));
        nodes.add(node);
        return node;
    }

    private Optional<Node> tryNode(String name, InetSocketAddress address) {
        try {
            return Optional.of(new Node(name, 2, PeerTransportSettings.of(address, "padma", "secret")));
        } catch (UncheckedIOException _exception) {
            return Optional.empty();
        }
    }

    private static PeerTransportSettings withAddress(PeerTransportSettings settings, InetSocketAddress address) {
        return PeerTransportSettings.of(address, settings.site(), settings.token());
    }

    private static PeerTransportSettings withSiteAndToken(PeerTransportSettings settings, String site, String token) {
        return PeerTransportSettings.of(settings.bindAddress(), site, token);
    }

    private static PeerTransportSettings withShortTimeouts(PeerTransportSettings settings) {
        return withQueueAndTimeouts(settings, settings.queuedMessages(), Duration.ofMillis(200));
    }

    private static PeerTransportSettings withSmallQueue(PeerTransportSettings settings) {
        return withQueueAndTimeouts(settings, 8, Duration.ofSeconds(1));
    }

    private static PeerTransportSettings withQueueAndTimeouts(
            PeerTransportSettings settings, int messages, Duration timeout) {
        return new PeerTransportSettings(
                settings.bindAddress(),
                settings.site(),
                settings.token(),
                messages,
                settings.queuedBytes(),
                settings.incomingConnections(),
                timeout,
                timeout,
                timeout,
                settings.initialBackoff(),
                settings.maximumBackoff());
    }

    record Text(String text) implements PeerMessage {}

    private final class Node {

        private final List<PeerEvent.Received> received = new CopyOnWriteArrayList<>();
        private final List<PeerEvent.Undeliverable> undeliverable = new CopyOnWriteArrayList<>();
        private final MetricRegistry metrics = new MetricRegistry();
        private final PeerTransport transport;

        Node(String name, long incarnation, PeerTransportSettings settings) {
            NodeName own = new NodeName(name);
            transport = new PeerTransport(
                    settings,
                    REGISTRY,
                    new NodeIdentity(own, incarnation),
                    node -> Optional.ofNullable(addresses.get(node)),
                    this::onEvent,
                    metrics);
            addresses.put(own, transport.localAddress());
            transport.start();
        }

        private void onEvent(Event event) {
            if (event instanceof PeerEvent.Received message) {
                received.add(message);
            } else if (event instanceof PeerEvent.Undeliverable message) {
                undeliverable.add(message);
            }
        }

        private void send(String target, String text) {
            transport.execute(new PeerEffect.Send(new NodeName(target), new Text(text)));
        }

        private long counter(String name) {
            return metrics.counter(name).getCount();
        }
    }
}
