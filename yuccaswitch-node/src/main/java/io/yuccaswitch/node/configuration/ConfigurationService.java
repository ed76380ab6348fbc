package io.yuccaswitch.node.configuration;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.configuration.ConfigurationEffect;
import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.disk.SnapshotFile;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.jboss.logging.Logger;

/**
 * Executes the effects of the configuration in order on a separate thread, since decoding a large configuration would
 * delay the decision loop. A configuration that can't be decoded is reported as rejected and never stops the process.
 */
public final class ConfigurationService implements AutoCloseable {

    /** The name of the snapshot in the data folder. */
    private static final String SNAPSHOT_NAME = "configuration.snapshot";

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(ConfigurationService.class);

    /** The decision loop. */
    private final DecisionLoop loop;

    /** The decoder of envelopes. */
    private final EnvelopeDecoder decoder;

    /** The snapshot, if the VM has a disk. */
    private final Optional<SnapshotFile> snapshot;

    /** Counts the rejected configurations. */
    private final Counter rejected;

    /** The thread that decodes configurations and writes the snapshot. */
    private final ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "configuration");
        thread.setDaemon(true);
        return thread;
    });

    /** The subscriptions to the effects. */
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a service that is not started yet.
     *
     * @param loop The decision loop.
     * @param decoder The decoder of envelopes.
     * @param dataFolder The data folder, if the VM has a disk.
     * @param metrics The registry of the metrics.
     */
    public ConfigurationService(
            DecisionLoop loop, EnvelopeDecoder decoder, Optional<Path> dataFolder, MetricRegistry metrics) {
        this.loop = loop;
        this.decoder = decoder;
        snapshot = dataFolder.map(folder -> new SnapshotFile(folder.resolve(SNAPSHOT_NAME)));
        rejected = metrics.counter("configuration.rejected");
    }

    /** Subscribes to the effects and reads the snapshot. Must be called before the loop starts. */
    public void start() {
        Scheduler scheduler = Schedulers.from(executor);
        subscriptions.add(
                loop.effects(ConfigurationEffect.class).observeOn(scheduler).subscribe(this::execute));
        snapshot.ifPresent(file -> executor.execute(() -> readSnapshot(file)));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        subscriptions.dispose();
        executor.shutdown();
    }

    /**
     * Submits the snapshot to the decision core if it is present and intact.
     *
     * @param file The file of the snapshot.
     */
    private void readSnapshot(SnapshotFile file) {
        file.read().map(ConfigurationEvent.SnapshotFound::new).ifPresent(loop::accept);
    }

    /**
     * Executes an effect.
     *
     * @param effect The effect.
     */
    private void execute(ConfigurationEffect effect) {
        if (effect instanceof ConfigurationEffect.Decode decode) {
            loop.accept(decode(decode.envelope()));
        } else if (effect instanceof ConfigurationEffect.Persist keep) {
            snapshot.ifPresent(file -> file.write(keep.envelope()));
        }
    }

    /**
     * Decodes an envelope and reports a rejection. Any failure is a rejection, since envelopes come from outside.
     *
     * @param envelope The envelope.
     * @return The decoded generation, or its rejection.
     */
    private ConfigurationEvent decode(Bytes envelope) {
        ConfigurationEvent event = tryDecode(envelope);
        if (event instanceof ConfigurationEvent.Rejected rejection) {
            rejected.inc();
            LOGGER.errorf(
                    "event=configuration-rejected generation=%s reason=\"%s\"",
                    rejection.generation(), rejection.reason());
        }
        return event;
    }

    /**
     * Decodes an envelope, and turns an exception into a rejection.
     *
     * @param envelope The envelope.
     * @return The decoded generation, or its rejection.
     */
    private ConfigurationEvent tryDecode(Bytes envelope) {
        try {
            return decoder.decode(envelope);
        } catch (RuntimeException exception) {
            return new ConfigurationEvent.Rejected(OptionalLong.empty(), envelope, exception.toString());
        }
    }
}
