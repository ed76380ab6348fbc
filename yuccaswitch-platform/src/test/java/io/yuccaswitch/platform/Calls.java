package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.OptionalLong;

/** Blocking calls for one object. */
record Calls(PlatformClient client) {

    static final ObjectKey KEY = new ObjectKey("lease", "pool");

    /** Returns settings with short timeouts, no retries and a circuit that never opens. */
    static PlatformClientSettings settings(int port) {
        return PlatformClientSettings.of("http://127.0.0.1:" + port)
                .withTimeouts(Duration.ofMillis(700), Duration.ofMillis(500))
                .withRetry(new RetrySettings(1, Duration.ZERO, Duration.ZERO, 0))
                .withCircuit(new CircuitSettings(Integer.MAX_VALUE, Duration.ZERO, Duration.ZERO, Duration.ZERO));
    }

    PlatformEvent create(String value) {
        return write(OptionalLong.empty(), value);
    }

    PlatformEvent replace(long version, String value) {
        return write(OptionalLong.of(version), value);
    }

    PlatformEvent delete(long version) {
        return call(new PlatformEffect.Delete(1, PlatformPurpose.LEASE, KEY, version));
    }

    PlatformEvent read() {
        return read(PlatformPurpose.LEASE);
    }

    PlatformEvent read(PlatformPurpose purpose) {
        return call(new PlatformEffect.Read(1, purpose, KEY));
    }

    PlatformEvent watch(long after) {
        return call(new PlatformEffect.Watch(1, PlatformPurpose.LEASE, KEY.kind(), after));
    }

    PlatformEvent call(PlatformEffect effect) {
        return client.execute(effect).blockingGet();
    }

    private PlatformEvent write(OptionalLong expected, String value) {
        return call(new PlatformEffect.Write(1, PlatformPurpose.LEASE, KEY, expected, Bytes.ofUtf8(value)));
    }
}
