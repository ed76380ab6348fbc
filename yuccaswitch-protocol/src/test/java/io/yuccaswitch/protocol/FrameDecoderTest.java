package io.yuccaswitch.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.value.Bytes;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class FrameDecoderTest {

    private static final int LIMIT = 2000;

    @Property(tries = 300)
    void framesSurviveAnyCutOfTheStream(
            @ForAll @Size(max = 20) List<@Size(max = 1500) byte[]> payloads,
            @ForAll @IntRange(min = 1, max = 700) int cut) {
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        List<Frame> expected = new ArrayList<>();
        for (byte[] payload : payloads) {
            stream.writeBytes(Frame.encode(payload.length, payload).unsafeArray());
            expected.add(new Frame(payload.length, Bytes.wrap(payload)));
        }

        FrameDecoder decoder = new FrameDecoder(LIMIT);
        assertThat(feed(decoder, stream.toByteArray(), cut)).isEqualTo(expected);
        assertThat(decoder.violation()).isEmpty();
    }

    @Property(tries = 500)
    void hostileBytesNeitherThrowNorMakeALargeFrame(@ForAll byte[] bytes, @ForAll @IntRange(min = 1, max = 9) int cut) {
        FrameDecoder decoder = new FrameDecoder(LIMIT);
        assertThat(feed(decoder, bytes, cut))
                .allSatisfy(frame -> assertThat(frame.payload().size()).isLessThan(LIMIT));
    }

    @Test
    void aFrameThatClaimsToBeTooLongIsRefusedBeforeItArrives() {
        assertThat(violation(ByteBuffer.allocate(4).putInt(LIMIT + 1))).contains(FrameViolation.OVERSIZED);
        assertThat(violation(ByteBuffer.allocate(4).putInt(LIMIT))).isEmpty();
    }

    @Test
    void aFrameThatIsTooShortOrHasANegativeLengthIsRefused() {
        assertThat(violation(ByteBuffer.allocate(4).putInt(2))).contains(FrameViolation.MALFORMED);
        assertThat(violation(ByteBuffer.allocate(4).putInt(-1))).contains(FrameViolation.MALFORMED);
    }

    @Test
    void anUnknownVersionIsRefused() {
        assertThat(violation(ByteBuffer.allocate(5).putInt(10).put((byte) 2))).contains(FrameViolation.UNKNOWN_VERSION);
    }

    private static Optional<FrameViolation> violation(ByteBuffer bytes) {
        FrameDecoder decoder = new FrameDecoder(LIMIT);
        decoder.append(bytes.flip());
        assertThat(decoder.next()).isEmpty();
        return decoder.violation();
    }

    private static List<Frame> feed(FrameDecoder decoder, byte[] bytes, int cut) {
        List<Frame> frames = new ArrayList<>();
        for (int i = 0; i < bytes.length; i += cut) {
            decoder.append(ByteBuffer.wrap(bytes, i, Math.min(cut, bytes.length - i)));
            Optional<Frame> frame = decoder.next();
            while (frame.isPresent()) {
                frames.add(frame.get());
                frame = decoder.next();
            }
        }
        return frames;
    }
}
