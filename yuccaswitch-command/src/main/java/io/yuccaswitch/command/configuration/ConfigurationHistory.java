package io.yuccaswitch.command.configuration;

import io.yuccaswitch.command.configuration.ObjectStore.ReadResult;
import io.yuccaswitch.command.configuration.ObjectStore.WriteResult;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.settings.ConfigurationDocument;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The accepted generations of the configuration, with one object for each. The object of a generation is written after
 * its acceptance, and at the latest right before the next acceptance, so that only the latest one can be missing.
 */
public final class ConfigurationHistory {

    /** The number of generations that are retained. */
    static final long RETAINED_GENERATIONS = 1_000;

    /** The object store of the platform. */
    private final ObjectStore store;

    /**
     * Creates a new history.
     *
     * @param store The object store of the platform.
     */
    public ConfigurationHistory(ObjectStore store) {
        this.store = store;
    }

    /**
     * Reads a generation.
     *
     * @param generation The generation.
     * @return The entry of the generation, or the reason why it is unavailable.
     */
    public Entry read(long generation) {
        ReadResult result = store.read(ConfigurationDocument.historyKey(generation));
        if (result instanceof ReadResult.Unavailable unavailable) {
            return new Entry(Optional.empty(), Optional.of(unavailable.reason()));
        }
        if (result instanceof ReadResult.Found found) {
            return new Entry(ConfigurationDocument.decode(found.object().value()), Optional.empty());
        }
        return new Entry(Optional.empty(), Optional.empty());
    }

    /**
     * Reads the latest generations.
     *
     * @param current The latest generation.
     * @param limit The maximum number of generations.
     * @return The retained generations.
     */
    public Listing newest(ConfigurationDocument current, int limit) {
        List<ConfigurationDocument> documents = new ArrayList<>();
        documents.add(current);
        long oldest = Math.max(1, current.generation() - limit + 1);
        for (long generation = current.generation() - 1; generation >= oldest; generation--) {
            Entry entry = read(generation);
            if (entry.failure().isPresent()) {
                return new Listing(documents, entry.failure());
            }
            entry.document().ifPresent(documents::add);
        }
        return new Listing(documents, Optional.empty());
    }

    /**
     * Ensures that an accepted generation is stored in the history.
     *
     * @param document The accepted generation.
     * @return The reason why it may not be stored, or empty if it is stored.
     */
    public Optional<String> ensure(ConfigurationDocument document) {
        ObjectKey key = ConfigurationDocument.historyKey(document.generation());
        ReadResult read = store.read(key);
        if (read instanceof ReadResult.Found) {
            return Optional.empty();
        }
        WriteResult written = store.write(key, OptionalLong.empty(), document.encode());
        return written instanceof WriteResult.Unavailable unavailable
                ? Optional.of(unavailable.reason())
                : Optional.empty();
    }

    /**
     * Deletes the generation that exceeds the retention limit after a generation is accepted. A failure leaves one
     * obsolete object, which is harmless.
     *
     * @param accepted The accepted generation.
     */
    public void prune(long accepted) {
        if (accepted <= RETAINED_GENERATIONS) {
            return;
        }
        ObjectKey key = ConfigurationDocument.historyKey(accepted - RETAINED_GENERATIONS);
        if (store.read(key) instanceof ReadResult.Found found) {
            store.delete(key, found.object().version());
        }
    }

    /**
     * Returns the highest generation in the history.
     *
     * @return The generation, or zero if there is none, or empty if the platform gave no usable answer.
     */
    OptionalLong highestGeneration() {
        Optional<List<StoredObject>> objects = store.list(ConfigurationDocument.HISTORY_KIND);
        if (objects.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(objects.get().stream()
                .flatMap(object -> ConfigurationDocument.decode(object.value()).stream())
                .mapToLong(ConfigurationDocument::generation)
                .max()
                .orElse(0));
    }

    /**
     * The latest generations.
     *
     * @param documents The generations from the newest to the oldest.
     * @param failure The reason why older generations could not be read, or empty if all were read.
     */
    public record Listing(List<ConfigurationDocument> documents, Optional<String> failure) {

        /**
         * Copies the generations.
         *
         * @param documents The generations from the newest to the oldest.
         * @param failure The reason why older generations could not be read, or empty if all were read.
         */
        public Listing {
            documents = List.copyOf(documents);
        }
    }

    /**
     * The history entry of a generation.
     *
     * @param document The generation, or empty if it is missing.
     * @param failure The reason why the platform gave no usable answer, or empty if it gave one.
     */
    public record Entry(Optional<ConfigurationDocument> document, Optional<String> failure) {}
}
