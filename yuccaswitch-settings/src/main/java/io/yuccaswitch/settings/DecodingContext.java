package io.yuccaswitch.settings;

import io.yuccaswitch.settings.SettingsMerge.Removal;
import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Collects the errors of one decoding, and knows the folder that is decoded. */
final class DecodingContext implements SettingsFindings {

    /** The folder that is decoded. */
    private final SettingsFolder folder;

    /** The errors that were found so far. */
    private final List<SettingsError> errors = new ArrayList<>();

    /** The paths of the values in error. */
    private final Set<KeyPath> failedPaths = new HashSet<>();

    /**
     * Creates a new context.
     *
     * @param folder The folder that is decoded.
     */
    DecodingContext(SettingsFolder folder) {
        this.folder = folder;
        errors.addAll(folder.errors());
    }

    /**
     * Returns the errors that were found.
     *
     * @return The errors.
     */
    List<SettingsError> errors() {
        return errors;
    }

    /**
     * Returns the place to name in an error about a path.
     *
     * @param path The path.
     * @return The position.
     */
    SourcePosition positionOf(KeyPath path) {
        return folder.positionOf(path);
    }

    /**
     * Adds an error.
     *
     * @param code What is wrong.
     * @param position Where the value was written.
     * @param path The path of the key.
     * @param message What is wrong, in a full sentence.
     * @param remedy What to do about it, in a full sentence.
     */
    void add(SettingsErrorCode code, SourcePosition position, KeyPath path, String message, String remedy) {
        errors.add(SettingsError.at(code, position, path, message, remedy));
        failedPaths.add(path);
    }

    /** {@inheritDoc} */
    @Override
    public void add(SettingsErrorCode code, String message, String remedy, KeyPath path, KeyPath... others) {
        if (!isFailed(path) && Arrays.stream(others).noneMatch(this::isFailed)) {
            errors.add(SettingsError.at(code, folder.positionOf(path), path, message, remedy));
        }
    }

    /**
     * Tells whether a value or an object around it is in error.
     *
     * @param path The path of the value.
     * @return {@code true} if an error was added for the path or one around it.
     */
    private boolean isFailed(KeyPath path) {
        return failedPaths.contains(path) || (!path.isRoot() && isFailed(path.parent()));
    }

    /**
     * Adds an error about a value of the wrong type or form.
     *
     * @param value The value as written.
     * @param path The path of the value.
     * @param expected What is expected, in a few words.
     * @return An empty value, for the decoder to return.
     */
    Optional<Object> addWrongType(SettingsValue value, KeyPath path, String expected) {
        add(
                SettingsErrorCode.WRONG_TYPE,
                value.position(),
                path,
                "Found " + value.describe() + ".",
                "Write " + expected + ".");
        return Optional.empty();
    }

    /**
     * Adds an error about a missing key. While a file could not be parsed, nothing counts as missing.
     *
     * @param path The path of the key.
     * @param expected What is expected, in a few words.
     */
    void addMissing(KeyPath path, String expected) {
        if (folder.isIncomplete()) {
            return;
        }
        Optional<SourcePosition> removal = removalOf(path);
        add(
                SettingsErrorCode.MISSING,
                removal.orElseGet(() -> folder.positionOf(path.parent())),
                path,
                removal.isPresent() ? "The key is required, but a null removes it." : "The key is required.",
                "Write " + expected + ".");
    }

    /**
     * Adds an error about an unknown name.
     *
     * @param code What is wrong.
     * @param position Where the name was written.
     * @param path The path of the name.
     * @param message What is wrong, in a full sentence.
     * @param name The unknown name.
     * @param known The names that are known.
     */
    void addUnknown(
            SettingsErrorCode code,
            SourcePosition position,
            KeyPath path,
            String message,
            String name,
            Collection<String> known) {
        String remedy = NearestName.find(name, known)
                .map(nearest -> "Did you mean \"" + nearest + "\"?")
                .orElseGet(() -> known.isEmpty() ? "None is known." : "Known are: " + String.join(", ", known) + ".");
        add(code, position, path, message, remedy);
    }

    /**
     * Checks that a name is a key of a top-level map.
     *
     * @param value The value that gives the name.
     * @param name The name.
     * @param path The path of the value.
     * @param map The key of the top-level map.
     * @return {@code true} if the name is a key of the map.
     */
    boolean checkReference(SettingsValue value, String name, KeyPath path, String map) {
        Collection<String> known = folder.content().entries().get(map) instanceof ObjectValue object
                ? object.entries().keySet()
                : List.of();
        if (known.contains(name) || folder.isIncomplete()) {
            return true;
        }
        String message = "There is no \"" + name + "\" in " + map + ".";
        addUnknown(SettingsErrorCode.DANGLING_REFERENCE, value.position(), path, message, name, known);
        return false;
    }

    /**
     * Finds the last null that removed a key or an object around it.
     *
     * @param path The path of the key.
     * @return Where the null was written, or empty if there was none.
     */
    private Optional<SourcePosition> removalOf(KeyPath path) {
        return folder.removals().stream()
                .filter(removal -> removal.path().equals(path))
                .map(Removal::position)
                .reduce((_earlier, later) -> later);
    }
}
