package io.yuccaswitch.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PeerMessageCodecTest {

    private static final PeerMessageRegistry REGISTRY = PeerMessageRegistry.builder()
            .register(PeerMessageRange.REQUEST, 40, AllTypes.class)
            .register(PeerMessageRange.REQUEST, 41, Empty.class)
            .build();

    private final PeerMessageCodec codec = new PeerMessageCodec(REGISTRY, 100_000);

    @Test
    void everyTypeOfValueIsEncodedAndDecoded() {
        AllTypes message = allTypes(Bytes.wrap(new byte[] {0, 1, -1}));

        assertThat(roundTrip(message)).contains(message);
        assertThat(roundTrip(new Empty())).contains(new Empty());
    }

    @Test
    void anOversizedMessageIsNotEncoded() {
        assertThat(codec.encode(allTypes(Bytes.wrap(new byte[100_001])))).isEmpty();
    }

    @Test
    void aComponentThatAnOlderPeerOmitsIsDecodedAsZeroOrEmpty() {
        PeerMessageCodec older = new PeerMessageCodec(
                PeerMessageRegistry.builder()
                        .register(PeerMessageRange.REQUEST, 42, OldVersion.class)
                        .build(),
                1000);
        PeerMessageCodec newer = new PeerMessageCodec(
                PeerMessageRegistry.builder()
                        .register(PeerMessageRange.REQUEST, 42, NewVersion.class)
                        .build(),
                1000);

        assertThat(newer.decode(frame(older.encode(new OldVersion(7)).orElseThrow())))
                .contains(new NewVersion(7, 0, Optional.empty()));
        assertThat(older.decode(frame(
                        newer.encode(new NewVersion(7, 8, Optional.of("x"))).orElseThrow())))
                .contains(new OldVersion(7));
    }

    @Test
    void aMessageThatLacksARequiredValueIsRejected() {
        byte[] nils = new byte[] {(byte) 0x99, -64, -64, -64, -64, -64, -64, -64, -64, -64};
        byte[] listOfNil = new byte[] {(byte) 0x91, (byte) 0x91, (byte) 0xC0};
        PeerMessageCodec lists = new PeerMessageCodec(
                PeerMessageRegistry.builder()
                        .register(PeerMessageRange.REQUEST, 43, Names.class)
                        .build(),
                1000);

        assertThat(codec.decode(new Frame(40, Bytes.wrap(nils)))).isEmpty();
        assertThat(codec.decode(new Frame(40, Bytes.wrap(new byte[] {(byte) 0x90}))))
                .isEmpty();
        assertThat(lists.decode(new Frame(43, Bytes.wrap(listOfNil)))).isEmpty();
    }

    @Test
    void aDuplicateOrOutOfRangeNumberIsRejected() {
        PeerMessageRegistry.Builder builder =
                PeerMessageRegistry.builder().register(PeerMessageRange.SAMPLE, 60, OldVersion.class);

        assertThatThrownBy(() -> builder.register(PeerMessageRange.SAMPLE, 60, NewVersion.class))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> builder.register(PeerMessageRange.SAMPLE, 59, NewVersion.class))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Property(tries = 500)
    void malformedPayloadsAreRejectedWithoutAnException(@ForAll byte[] payload) {
        codec.decode(new Frame(40, Bytes.wrap(payload)));
        codec.decodeGreeting(new Frame(Greeting.NUMBER, Bytes.wrap(payload)));
        assertThat(codec.decode(new Frame(99, Bytes.wrap(payload)))).isEmpty();
    }

    @Property(tries = 300)
    void aCorruptedMessageDoesNotThrow(@ForAll byte damage, @ForAll int position) {
        byte[] frame = codec.encode(allTypes(Bytes.ofUtf8("content")))
                .orElseThrow()
                .unsafeArray()
                .clone();
        frame[Math.floorMod(position, frame.length)] ^= damage;
        codec.decode(frame(Bytes.wrap(frame)));
    }

    private Optional<PeerMessage> roundTrip(PeerMessage message) {
        return codec.decode(frame(codec.encode(message).orElseThrow()));
    }

    private static Frame frame(Bytes encoded) {
        ByteBuffer buffer = ByteBuffer.wrap(encoded.unsafeArray());
        buffer.getInt();
        return Frame.decode(buffer.slice());
    }

    private static AllTypes allTypes(Bytes bytes) {
        NodeName node = new NodeName("vm-1");
        EndpointName endpoint = new EndpointName(new PoolName("matcher-lm"), "e1", 1796257057572L);
        return new AllTypes(
                new NodeIdentity(node, 17),
                Optional.of(endpoint),
                Optional.empty(),
                OptionalLong.of(3),
                Map.of(endpoint, List.of(new AvailabilityZone("garia"))),
                Map.of(node, new Shape.Circle(2.5)),
                List.of(new Shape.Circle(1), new Shape.Square(4, true)),
                Duration.ofMillis(1500),
                bytes);
    }

    record AllTypes(
            NodeIdentity identity,
            Optional<EndpointName> endpoint,
            Optional<String> nothing,
            OptionalLong number,
            Map<EndpointName, List<AvailabilityZone>> keyed,
            Map<NodeName, Shape> values,
            List<Shape> shapes,
            Duration duration,
            Bytes bytes)
            implements PeerMessage {

        boolean isIgnored() {
            return true;
        }
    }

    record Names(List<NodeName> names) implements PeerMessage {}

    record Empty() implements PeerMessage {}

    record OldVersion(long first) implements PeerMessage {}

    record NewVersion(long first, long second, Optional<String> third) implements PeerMessage {}

    sealed interface Shape {
        record Circle(double radius) implements Shape {}

        record Square(int side, boolean filled) implements Shape {}
    }
}
