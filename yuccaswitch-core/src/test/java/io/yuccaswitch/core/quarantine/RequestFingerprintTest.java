package io.yuccaswitch.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.value.Bytes;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class RequestFingerprintTest {

    private static final Bytes BODY = Bytes.ofUtf8("body");

    @Test
    void equalRequestsHaveTheSameFingerprint() {
        assertThat(RequestFingerprint.of("a", "h", "POST", "/x", BODY))
                .isEqualTo(RequestFingerprint.of("a", "h", "POST", "/x", Bytes.ofUtf8("body")));
    }

    @Test
    void differentCallerHostMethodPathOrBodyYieldsDifferentFingerprint() {
        Set<RequestFingerprint> all = new HashSet<>();
        all.add(RequestFingerprint.of("a", "h", "POST", "/x", BODY));
        all.add(RequestFingerprint.of("b", "h", "POST", "/x", BODY));
        all.add(RequestFingerprint.of("a", "i", "POST", "/x", BODY));
        all.add(RequestFingerprint.of("a", "h", "GET", "/x", BODY));
        all.add(RequestFingerprint.of("a", "h", "POST", "/y", BODY));
        all.add(RequestFingerprint.of("a", "h", "POST", "/x", Bytes.EMPTY));
        all.add(RequestFingerprint.of("ah", "", "POST", "/x", BODY));
        assertThat(all).hasSize(7);
    }

    @Test
    void parsedFingerprintEqualsTheOriginal() {
        RequestFingerprint fingerprint = RequestFingerprint.of("a", "h", "POST", "/x", BODY);
        assertThat(RequestFingerprint.parse(fingerprint.toString())).contains(fingerprint);
        assertThat(RequestFingerprint.parse("")).isEmpty();
        assertThat(RequestFingerprint.parse("x".repeat(32))).isEmpty();
    }
}
