package io.yuccaswitch.node.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.settings.ConfigurationDocument;
import java.time.Instant;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EnvelopeDecoderTest {

    private final EnvelopeDecoder decoder = new EnvelopeDecoder.OfDocument();

    @Test
    void anAcceptedConfigurationIsDecodedWithItsGeneration() {
        Bytes envelope = envelope("{\"site\": \"padma\"}");
        assertThat(decoder.decode(envelope)).isInstanceOfSatisfying(ConfigurationEvent.Decoded.class, decoded -> {
            assertThat(decoded.generation()).isEqualTo(7);
            assertThat(decoded.envelope()).isEqualTo(envelope);
            assertThat(decoded.configuration().site()).isEqualTo("padma");
        });
    }

    @Test
    void contentOfANewerReleaseIsRejectedWithItsGeneration() {
        assertThat(decoder.decode(envelope("{\"site\": \"padma\", \"fromTheFuture\": 1}")))
                .isInstanceOfSatisfying(ConfigurationEvent.Rejected.class, rejected -> {
                    assertThat(rejected.generation()).isEqualTo(OptionalLong.of(7));
                    assertThat(rejected.reason()).contains("fromTheFuture");
                });
    }

    @Test
    void malformedInputIsRejectedWithoutAGeneration() {
        assertThat(decoder.decode(Bytes.ofUtf8("{rubbish")))
                .isInstanceOfSatisfying(ConfigurationEvent.Rejected.class, rejected -> assertThat(rejected.generation())
                        .isEmpty());
    }

    private static Bytes envelope(String content) {
        return new ConfigurationDocument(7, "change-1", "rina", Instant.EPOCH, Bytes.ofUtf8(content)).encode();
    }
}
