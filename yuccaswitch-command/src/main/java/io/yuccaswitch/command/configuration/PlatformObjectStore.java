package io.yuccaswitch.command.configuration;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.command.CommandSettings.PlatformAccess;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.platform.PlatformClient;
import io.yuccaswitch.platform.PlatformClientSettings;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

/** Accesses the object store of the platform over HTTP. */
public final class PlatformObjectStore implements ObjectStore {

    /** The purpose of all calls. */
    private static final PlatformPurpose PURPOSE = PlatformPurpose.CONFIGURATION;

    /** The client. */
    private final PlatformClient client;

    /** The correlation token of the last call. */
    private final AtomicLong token = new AtomicLong();

    /**
     * Creates a new store.
     *
     * @param client The client, which the store closes.
     */
    private PlatformObjectStore(PlatformClient client) {
        this.client = client;
    }

    /**
     * Opens the object store of the platform.
     *
     * @param access The address and token of the platform.
     * @return The object store.
     */
    public static ObjectStore open(PlatformAccess access) {
        PlatformClientSettings settings =
                PlatformClientSettings.of(access.address()).withToken(access.token());
        return new PlatformObjectStore(new PlatformClient(settings, new MetricRegistry()));
    }

    /** {@inheritDoc} */
    @Override
    public ReadResult read(ObjectKey key) {
        PlatformEvent event = call(new PlatformEffect.Read(token.incrementAndGet(), PURPOSE, key));
        if (event instanceof PlatformEvent.ObjectRead read) {
            return read.object()
                    .filter(object -> !object.deleted())
                    .<ReadResult>map(ReadResult.Found::new)
                    .orElseGet(ReadResult.Absent::new);
        }
        return new ReadResult.Unavailable(reason(event));
    }

    /** {@inheritDoc} */
    @Override
    public Optional<List<StoredObject>> list(String kind) {
        PlatformEvent event = call(new PlatformEffect.ListKind(token.incrementAndGet(), PURPOSE, kind));
        return event instanceof PlatformEvent.ObjectsListed listed ? Optional.of(listed.objects()) : Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    public WriteResult write(ObjectKey key, OptionalLong expectedVersion, Bytes value) {
        return result(call(new PlatformEffect.Write(token.incrementAndGet(), PURPOSE, key, expectedVersion, value)));
    }

    /** {@inheritDoc} */
    @Override
    public WriteResult delete(ObjectKey key, long expectedVersion) {
        return result(call(new PlatformEffect.Delete(token.incrementAndGet(), PURPOSE, key, expectedVersion)));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        client.close();
    }

    /**
     * Makes a call and waits for its answer. The client limits the waiting time.
     *
     * @param effect The call.
     * @return The answer.
     */
    private PlatformEvent call(PlatformEffect effect) {
        return client.execute(effect).blockingGet();
    }

    /**
     * Converts the answer to a write into its result.
     *
     * @param event The answer.
     * @return The result.
     */
    private static WriteResult result(PlatformEvent event) {
        if (event instanceof PlatformEvent.Accepted accepted) {
            return new WriteResult.Accepted(accepted.version());
        }
        if (event instanceof PlatformEvent.Conflict conflict) {
            return new WriteResult.Conflict(conflict.current());
        }
        boolean maybeApplied = !(event instanceof PlatformEvent.Unavailable unavailable) || unavailable.maybeApplied();
        return new WriteResult.Unavailable(maybeApplied, reason(event));
    }

    /**
     * Returns the reason why an answer is not usable.
     *
     * @param event The answer.
     * @return The reason.
     */
    private static String reason(PlatformEvent event) {
        return event instanceof PlatformEvent.Unavailable unavailable
                ? unavailable.reason()
                : "unexpected answer " + event.getClass().getSimpleName();
    }
}
