package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.testkit.platform.PlatformStandIn;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PlatformClientTest {

    private static final ObjectKey KEY = new ObjectKey("lease", "vm-1@3/pool x");

    private final PlatformStandIn platform = PlatformStandIn.start(0, Optional.of("secret"));

    private final MetricRegistry registry = new MetricRegistry();

    private final PlatformClient client = new PlatformClient(
            PlatformClientSettings.of("http://127.0.0.1:" + platform.port()).withToken(Optional.of("secret")),
            registry);

    @AfterEach
    void close() {
        client.close();
        platform.close();
    }

    @Test
    void anObjectIsCreatedReadReplacedListedWatchedAndDeleted() {
        assertThat(write(1, OptionalLong.empty(), "a")).isEqualTo(new PlatformEvent.Accepted(1, 1));
        assertThat(call(new PlatformEffect.Read(2, PlatformPurpose.LEASE, KEY)))
                .isEqualTo(new PlatformEvent.ObjectRead(2, Optional.of(stored(1, "a"))));
        assertThat(write(3, OptionalLong.of(1), "b")).isEqualTo(new PlatformEvent.Accepted(3, 2));
        assertThat(write(4, OptionalLong.of(1), "c"))
                .isEqualTo(new PlatformEvent.Conflict(4, Optional.of(stored(2, "b"))));
        assertThat(call(new PlatformEffect.ListKind(5, PlatformPurpose.LEASE, "lease")))
                .isEqualTo(new PlatformEvent.ObjectsListed(5, List.of(stored(2, "b")), 2, false));
        assertThat(call(new PlatformEffect.Watch(6, PlatformPurpose.LEASE, "lease", 1)))
                .isEqualTo(new PlatformEvent.ObjectsListed(6, List.of(stored(2, "b")), 2, false));
        assertThat(call(new PlatformEffect.Delete(7, PlatformPurpose.LEASE, KEY, 2)))
                .isEqualTo(new PlatformEvent.Accepted(7, 3));
        assertThat(call(new PlatformEffect.Read(8, PlatformPurpose.LEASE, KEY)))
                .isEqualTo(new PlatformEvent.ObjectRead(8, Optional.empty()));
        assertThat(write(9, OptionalLong.of(2), "d")).isEqualTo(new PlatformEvent.Conflict(9, Optional.empty()));
        assertThat(call(new PlatformEffect.Watch(10, PlatformPurpose.LEASE, "lease", 2)))
                .isEqualTo(new PlatformEvent.ObjectsListed(
                        10, List.of(new StoredObject(KEY, 3, Bytes.EMPTY, true)), 3, false));
    }

    private PlatformEvent write(long token, OptionalLong expected, String value) {
        return call(new PlatformEffect.Write(token, PlatformPurpose.LEASE, KEY, expected, Bytes.ofUtf8(value)));
    }

    private PlatformEvent call(PlatformEffect effect) {
        return client.execute(effect).blockingGet();
    }

    private static StoredObject stored(long version, String value) {
        return new StoredObject(KEY, version, Bytes.ofUtf8(value), false);
    }
}
