package io.yuccaswitch.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.account.Credential;
import io.yuccaswitch.core.account.KeyDigest;
import java.util.List;
import org.junit.jupiter.api.Test;

final class BearerCredentialTest {

    @Test
    void theSchemeIsReadInAnyCaseAndWithAnySpacing() {
        Credential expected = new Credential.Key(KeyDigest.of("secret"));
        assertThat(BearerCredential.read(List.of("Bearer secret"))).isEqualTo(expected);
        assertThat(BearerCredential.read(List.of("bEARER   secret"))).isEqualTo(expected);
        assertThat(BearerCredential.read(List.of("  Bearer secret  "))).isEqualTo(expected);
    }

    @Test
    void headersWithoutExactlyOneKeyYieldNoKey() {
        Credential unreadable = new Credential.Unreadable();
        assertThat(BearerCredential.read(List.of("Bearer secret", "Bearer other")))
                .isEqualTo(unreadable);
        assertThat(BearerCredential.read(List.of("Basic secret"))).isEqualTo(unreadable);
        assertThat(BearerCredential.read(List.of("Bearer "))).isEqualTo(unreadable);
        assertThat(BearerCredential.read(List.of(""))).isEqualTo(unreadable);
        assertThat(BearerCredential.read(List.of())).isEqualTo(new Credential.Absent());
    }

    @Test
    void aKeyOfThirtyTwoKilobytesIsRead() {
        String key = "k".repeat(32 * 1024);
        assertThat(BearerCredential.read(List.of("Bearer " + key))).isEqualTo(new Credential.Key(KeyDigest.of(key)));
    }
}
