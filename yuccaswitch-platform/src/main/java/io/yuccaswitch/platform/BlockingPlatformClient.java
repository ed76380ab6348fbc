package io.yuccaswitch.platform;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.value.Bytes;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * A client that blocks the calling thread until each answer arrives, for the command line and for tests. A node must
 * never use it. It has the same rate limits, retries and outcomes as {@link PlatformClient}. Closing it stops all its
 * threads, so that the process of a command can exit.
 */
public final class BlockingPlatformClient implements AutoCloseable {

    /** The client that makes the calls. */
    private final PlatformClient client;

    /** The purpose of all calls. */
    private final PlatformPurpose purpose;

    /** The token of the last call. */
    private final AtomicLong token = new AtomicLong();

    /**
     * Creates a client, which connects on the first call.
     *
     * @param settings The settings.
     * @param purpose The purpose of all calls.
     */
    public BlockingPlatformClient(PlatformClientSettings settings, PlatformPurpose purpose) {
        client = new PlatformClient(settings, new MetricRegistry());
        this.purpose = purpose;
    }

    /**
     * Makes a call.
     *
     * @param effect The call.
     * @return The event that answers it.
     */
    public PlatformEvent call(PlatformEffect effect) {
        return client.execute(effect).blockingGet();
    }

    /**
     * Reads an object.
     *
     * @param key The object's key.
     * @return {@link PlatformEvent.ObjectRead} or {@link PlatformEvent.Unavailable}.
     */
    public PlatformEvent read(ObjectKey key) {
        return call(new PlatformEffect.Read(token.incrementAndGet(), purpose, key));
    }

    /**
     * Lists the objects of a kind.
     *
     * @param kind The kind.
     * @return {@link PlatformEvent.ObjectsListed} or {@link PlatformEvent.Unavailable}.
     */
    public PlatformEvent list(String kind) {
        return call(new PlatformEffect.ListKind(token.incrementAndGet(), purpose, kind));
    }

    /**
     * Waits once for changes to objects of a kind.
     *
     * @param kind The kind.
     * @param afterVersion The version after which changes are returned.
     * @return {@link PlatformEvent.ObjectsListed} or {@link PlatformEvent.Unavailable}.
     */
    public PlatformEvent watch(String kind, long afterVersion) {
        return call(new PlatformEffect.Watch(token.incrementAndGet(), purpose, kind, afterVersion));
    }

    /**
     * Writes an object, and determines whether the write took effect if its answer is lost.
     *
     * @param key The object's key.
     * @param expectedVersion The version that the object must have, or empty if it must not exist.
     * @param value The value to write, which must contain an identifier that no other write uses.
     * @param hasIdentifier Tests whether a value contains the identifier.
     * @return The outcome.
     */
    public SettledWrite.Outcome write(
            ObjectKey key, OptionalLong expectedVersion, Bytes value, Predicate<Bytes> hasIdentifier) {
        return new SettledWrite(client, purpose, key, expectedVersion, value, hasIdentifier)
                .execute()
                .blockingGet();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        client.close();
    }
}
