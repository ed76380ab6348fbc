package io.yuccaswitch.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.RecordedOutcome;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.core.request.RequestMessage;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RequestMessageCodecTest {

    private static final RequestId ID = new RequestId("vm-1@3/w17-a");
    private static final CallerName CALLER = new CallerName("desk");
    private static final Outcome ANSWERED = new Outcome.Answered(
            new EndpointName(new PoolName("ledger-app"), "e0"),
            201,
            "text/plain",
            Bytes.ofUtf8("posted"),
            Optional.of(new Generation("t0 ", List.of(new Generation.Segment(7, 1)), "stop")));

    private final PeerMessageCodec codec = new PeerMessageCodec(
            PeerMessageRegistry.builder()
                    .register(PeerMessageRange.REQUEST, 40, RequestMessage.Forward.class)
                    .register(PeerMessageRange.REQUEST, 41, RequestMessage.Concluded.class)
                    .register(PeerMessageRange.REQUEST, 42, RequestMessage.Lookup.class)
                    .register(PeerMessageRange.REQUEST, 43, RequestMessage.LookupAnswer.class)
                    .register(PeerMessageRange.REQUEST, 44, RequestMessage.ReplicateOutcome.class)
                    .build(),
            100_000);

    static List<RequestMessage> messages() {
        Request request = new Request(
                ID,
                new PoolName("ledger-app"),
                CALLER,
                PriorityClass.URGENT,
                false,
                false,
                new MonotonicTime(12345678901L),
                "POST",
                "/post?x=1",
                "application/json",
                Bytes.wrap(new byte[] {0, -1, 7}),
                Optional.of("matcher"),
                7,
                List.of(-1L, Long.MAX_VALUE),
                3,
                4);
        NodeIdentity home = new NodeIdentity(new NodeName("vm-1"), 3);
        return List.of(
                new RequestMessage.Forward(request, home, 17, Long.MIN_VALUE, Duration.ofMillis(1234)),
                new RequestMessage.Concluded(ID, 5, RecordedOutcome.of(ANSWERED)),
                new RequestMessage.Concluded(
                        ID, 5, RecordedOutcome.of(new Outcome.NotRun("shed", "m", Optional.of(Duration.ofSeconds(1))))),
                new RequestMessage.Lookup(ID, CALLER),
                new RequestMessage.LookupAnswer(ID, Optional.empty(), true),
                new RequestMessage.LookupAnswer(ID, Optional.of(RecordedOutcome.of(ANSWERED)), false),
                new RequestMessage.ReplicateOutcome(
                        ID, CALLER, -5, RecordedOutcome.of(new Outcome.FailedAfterSend("lost", "m"))));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void everyMessageIsEncodedAndDecoded(RequestMessage message) {
        ByteBuffer encoded = ByteBuffer.wrap(codec.encode(message).orElseThrow().unsafeArray());
        encoded.getInt();

        assertThat(codec.decode(Frame.decode(encoded.slice()))).contains(message);
    }
}
