package io.yuccaswitch.command.configuration;

import io.yuccaswitch.command.configuration.ObjectStore.ReadResult;
import io.yuccaswitch.command.configuration.ObjectStore.WriteResult;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.settings.ConfigurationDocument;
import io.yuccaswitch.settings.FleetConfigurationCodec;
import io.yuccaswitch.settings.SettingsDifference;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Applies a change with one conditional write of the next generation. If the answer to the write is lost, the object is
 * read and the identifier of the change is compared before the identical write is retried. Each attempt expects the
 * same version of the object, so the write takes effect at most once.
 */
public final class ConfigurationApply {

    /** The maximum size of a value that the platform accepts, in bytes. */
    public static final int MAXIMUM_SIZE = 1 << 20;

    /** The maximum number of attempts until the write is answered. */
    private static final int MAXIMUM_ATTEMPTS = 8;

    /** The number of earlier generations that are searched for a change that was attempted before. */
    private static final int RESUME_SEARCH_GENERATIONS = 20;

    /** The object store of the platform. */
    private final ObjectStore store;

    /** The accepted generations. */
    private final ConfigurationHistory history;

    /** The delays between attempts. */
    private final RetryPauses pauses;

    /**
     * Creates a new instance.
     *
     * @param store The object store of the platform.
     * @param pauses The delays between attempts.
     */
    public ConfigurationApply(ObjectStore store, RetryPauses pauses) {
        this.store = store;
        this.pauses = pauses;
        history = new ConfigurationHistory(store);
    }

    /**
     * Applies a change.
     *
     * @param request The change.
     * @return The outcome.
     */
    public ApplyOutcome apply(ApplyRequest request) {
        ReadResult read = store.read(ConfigurationDocument.KEY);
        if (read instanceof ReadResult.Unavailable unavailable) {
            return new ApplyOutcome.Unreachable(unavailable.reason());
        }
        if (!(read instanceof ReadResult.Found found)) {
            return applyFirst(request);
        }
        Optional<ConfigurationDocument> current =
                ConfigurationDocument.decode(found.object().value());
        if (current.isEmpty()) {
            return damaged();
        }
        Base base = new Base(
                OptionalLong.of(found.object().version()),
                current,
                current.get().generation());
        return applyUpon(base, current.get(), request);
    }

    /**
     * Applies a change if no configuration exists. Generation numbers continue from the history, if there is one, since
     * nodes never apply an older generation.
     *
     * @param request The change.
     * @return The outcome.
     */
    private ApplyOutcome applyFirst(ApplyRequest request) {
        OptionalLong highest = history.highestGeneration();
        if (highest.isEmpty()) {
            return new ApplyOutcome.Unreachable("the history cannot be listed");
        }
        return write(new Base(OptionalLong.empty(), Optional.empty(), highest.getAsLong()), request);
    }

    /**
     * Applies a change to an existing configuration.
     *
     * @param base The state that the change is based on.
     * @param current The latest generation.
     * @param request The change.
     * @return The outcome.
     */
    private ApplyOutcome applyUpon(Base base, ConfigurationDocument current, ApplyRequest request) {
        Optional<ApplyOutcome> earlier = request.resumed() ? findEarlier(current, request) : Optional.empty();
        if (earlier.isPresent()) {
            return earlier.get();
        }
        OptionalLong expected = request.expectedGeneration();
        if (expected.isPresent() && expected.getAsLong() != current.generation()) {
            Optional<ConfigurationDocument> expectedDocument =
                    history.read(expected.getAsLong()).document();
            return new ApplyOutcome.Lost(expected, current, differences(expectedDocument, current));
        }
        if (current.content().equals(request.content())) {
            return new ApplyOutcome.Unchanged(current);
        }
        Optional<String> failure = history.ensure(current);
        if (failure.isPresent()) {
            return new ApplyOutcome.Unreachable(
                    "the history of generation " + current.generation() + " cannot be stored: " + failure.get());
        }
        return write(base, request);
    }

    /**
     * Searches the latest generations for a change that was attempted before.
     *
     * @param current The latest generation.
     * @param request The change.
     * @return The outcome of the earlier attempt, which may be unknown, or empty if the change was not accepted.
     */
    private Optional<ApplyOutcome> findEarlier(ConfigurationDocument current, ApplyRequest request) {
        if (current.changeId().equals(request.changeId())) {
            return Optional.of(
                    current.content().equals(request.content())
                            ? accepted(current, List.of())
                            : new ApplyOutcome.ChangeIdInUse(current));
        }
        long oldest = Math.max(1, current.generation() - RESUME_SEARCH_GENERATIONS);
        for (long generation = current.generation() - 1; generation >= oldest; generation--) {
            ConfigurationHistory.Entry entry = history.read(generation);
            if (entry.failure().isPresent()) {
                return Optional.of(new ApplyOutcome.Unknown(
                        request.changeId(),
                        request.expectedGeneration().orElse(generation - 1),
                        entry.failure().get()));
            }
            Optional<ConfigurationDocument> matching =
                    entry.document().filter(document -> document.changeId().equals(request.changeId()));
            if (matching.isPresent()) {
                return Optional.of(
                        matching.get().content().equals(request.content())
                                ? new ApplyOutcome.Accepted(matching.get(), List.of(), Optional.of(current), List.of())
                                : new ApplyOutcome.ChangeIdInUse(matching.get()));
            }
        }
        return Optional.empty();
    }

    /**
     * Writes the next generation.
     *
     * @param base The state that the change is based on.
     * @param request The change.
     * @return The outcome.
     */
    private ApplyOutcome write(Base base, ApplyRequest request) {
        ConfigurationDocument candidate = new ConfigurationDocument(
                base.generation() + 1, request.changeId(), request.author(), request.time(), request.content());
        Bytes value = candidate.encode();
        if (value.size() > MAXIMUM_SIZE) {
            return new ApplyOutcome.TooLarge(value.size(), MAXIMUM_SIZE);
        }
        return attempt(base, candidate, value);
    }

    /**
     * Attempts to write a generation until the outcome is known. After a lost answer, the object is read before the
     * write is retried.
     *
     * @param base The state that the change is based on.
     * @param candidate The generation to write.
     * @param value The encoded generation.
     * @return The outcome.
     */
    private ApplyOutcome attempt(Base base, ConfigurationDocument candidate, Bytes value) {
        boolean maybeApplied = false;
        boolean mayWrite = true;
        String reason = "";
        for (int attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt++) {
            if (mayWrite) {
                WriteResult result = store.write(ConfigurationDocument.KEY, base.version(), value);
                if (result instanceof WriteResult.Accepted) {
                    return accepted(candidate, differences(base.document(), candidate));
                }
                if (result instanceof WriteResult.Conflict conflict) {
                    return settle(base, candidate, conflict.current(), maybeApplied);
                }
                WriteResult.Unavailable unavailable = (WriteResult.Unavailable) result;
                maybeApplied |= unavailable.maybeApplied();
                reason = unavailable.reason();
            }
            if (maybeApplied) {
                ReadResult read = store.read(ConfigurationDocument.KEY);
                if (read instanceof ReadResult.Found found && base.isOlderThan(found.object())) {
                    return settle(base, candidate, Optional.of(found.object()), true);
                }
                mayWrite = !(read instanceof ReadResult.Unavailable);
            }
            pauses.await(attempt);
        }
        return maybeApplied
                ? new ApplyOutcome.Unknown(candidate.changeId(), base.generation(), reason)
                : new ApplyOutcome.Unreachable(reason);
    }

    /**
     * Determines the outcome of a write from the current object.
     *
     * @param base The state that the change is based on.
     * @param candidate The generation that was to be written.
     * @param object The current object.
     * @param maybeApplied Whether an attempt may have taken effect.
     * @return The outcome of the write.
     */
    private ApplyOutcome settle(
            Base base, ConfigurationDocument candidate, Optional<StoredObject> object, boolean maybeApplied) {
        Optional<ConfigurationDocument> decoded =
                object.filter(o -> !o.deleted()).flatMap(o -> ConfigurationDocument.decode(o.value()));
        if (decoded.isEmpty()) {
            return maybeApplied
                    ? new ApplyOutcome.Unknown(candidate.changeId(), base.generation(), "the object was replaced")
                    : damaged();
        }
        ConfigurationDocument current = decoded.get();
        List<SettingsDifference> changed = differences(base.document(), candidate);
        if (current.changeId().equals(candidate.changeId())) {
            return accepted(current, changed);
        }
        if (maybeApplied && current.generation() > candidate.generation()) {
            Optional<ConfigurationDocument> successor =
                    history.read(candidate.generation()).document();
            if (successor.isEmpty()) {
                return new ApplyOutcome.Unknown(candidate.changeId(), base.generation(), "the history cannot be read");
            }
            if (successor.get().changeId().equals(candidate.changeId())) {
                return new ApplyOutcome.Accepted(candidate, changed, Optional.of(current), List.of());
            }
        }
        return new ApplyOutcome.Lost(
                OptionalLong.of(base.generation()), current, differences(base.document(), current));
    }

    /**
     * Adds an accepted generation to the history.
     *
     * @param document The accepted generation.
     * @param differences The values that differ from the previous generation.
     * @return The outcome.
     */
    private ApplyOutcome accepted(ConfigurationDocument document, List<SettingsDifference> differences) {
        List<String> warnings = history.ensure(document).stream()
                .map(reason -> "The generation is accepted but not yet in the history (" + reason
                        + "); the next apply adds it.")
                .toList();
        history.prune(document.generation());
        return new ApplyOutcome.Accepted(document, differences, Optional.empty(), warnings);
    }

    /**
     * Compares two generations.
     *
     * @param before The earlier generation, if there is one.
     * @param after The later generation.
     * @return The values that differ.
     */
    private static List<SettingsDifference> differences(
            Optional<ConfigurationDocument> before, ConfigurationDocument after) {
        return before.map(document -> SettingsDifference.between(
                        FleetConfigurationCodec.folderOf(document.content()).content(),
                        FleetConfigurationCodec.folderOf(after.content()).content()))
                .orElseGet(List::of);
    }

    /**
     * Creates the outcome for an object that is not a valid configuration.
     *
     * @return The outcome.
     */
    private static ApplyOutcome damaged() {
        return new ApplyOutcome.Damaged("The object " + ConfigurationDocument.KEY + " is not a configuration.");
    }

    /**
     * The state that a change is based on.
     *
     * @param version The version of the object, or empty if it does not exist.
     * @param document The latest generation, or empty if there is none.
     * @param generation The highest generation that was ever accepted.
     */
    private record Base(OptionalLong version, Optional<ConfigurationDocument> document, long generation) {

        /**
         * Returns whether an object was written after this one. A read may also return an earlier version, since it may
         * lag behind accepted writes.
         *
         * @param object The object.
         * @return {@code true} if the object is newer.
         */
        boolean isOlderThan(StoredObject object) {
            return version.isEmpty() || object.version() > version.getAsLong();
        }
    }
}
