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

    private static final int MAXIMUM_LENGTH = 2000;

    @Property(tries = 300)
    void framesAreDecodedFromChunksOfAnySize(
            @ForAll @Size(max = 20) List<@Size(max = 1500) byte[]> payloads,
            @ForAll @IntRange(min = 1, max = 700) int chunkSize) {
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        List<Frame> expected = new ArrayList<>();
        for (byte[] payload : payloads) {
            stream.writeBytes(Frame.encode(payload.length, payload).unsafeArray());
            expected.add(new Frame(payload.length, Bytes.wrap(payload)));
        }

        FrameDecoder decoder = new FrameDecoder(MAXIMUM_LENGTH);
        assertThat(feed(decoder, stream.toByteArray(), chunkSize)).isEqualTo(expected);
        assertThat(decoder.violation()).isEmpty();
    }

    @Property(tries = 500)
    void malformedBytesNeitherThrowNorYieldAnOversizedFrame(
            @ForAll byte[] bytes, @ForAll @IntRange(min = 1, max = 9) int chunkSize) {
        FrameDecoder decoder = new FrameDecoder(MAXIMUM_LENGTH);
        assertThat(feed(decoder, bytes, chunkSize))
                .allSatisfy(frame -> assertThat(frame.payload().size()).isLessThan(MAXIMUM_LENGTH));
    }

    @Test
    void aFrameWithAnExcessiveDeclaredLengthIsRejectedBeforeItsBodyArrives() {
        assertThat(violation(ByteBuffer.allocate(4).putInt(MAXIMUM_LENGTH + 1))).contains(FrameViolation.OVERSIZED);
        assertThat(violation(ByteBuffer.allocate(4).putInt(MAXIMUM_LENGTH))).isEmpty();
    }

    @Test
    void aFrameThatIsTooShortOrHasANegativeLengthIsRejected() {
        assertThat(violation(ByteBuffer.allocate(4).putInt(2))).contains(FrameViolation.MALFORMED);
        assertThat(violation(ByteBuffer.allocate(4).putInt(-1))).contains(FrameViolation.MALFORMED);
    }

    @Test
    void anUnknownVersionIsRejected() {
        assertThat(violation(ByteBuffer.allocate(5).putInt(10).put((byte) 2))).contains(FrameViolation.UNKNOWN_VERSION);
    }

    private static Optional<FrameViolation> violation(ByteBuffer bytes) {
        FrameDecoder decoder = new FrameDecoder(MAXIMUM_LENGTH);
        decoder.append(bytes.flip());
        assertThat(decoder.next()).isEmpty();
        return decoder.violation();
    }

    private static List<Frame> feed(FrameDecoder decoder, byte[] bytes, int chunkSize) {
        List<Frame> frames = new ArrayList<>();
        for (int i = 0; i < bytes.length; i += chunkSize) {
            decoder.append(ByteBuffer.wrap(bytes, i, Math.min(chunkSize, bytes.length - i)));
            Optional<Frame> frame = decoder.next();
            while (frame.isPresent()) {
                frames.add(frame.get());
                frame = decoder.next();
            }
        }
        return frames;
    }
}
