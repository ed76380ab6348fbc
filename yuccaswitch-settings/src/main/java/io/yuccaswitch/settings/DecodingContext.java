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

/** Collects the errors that occur while a folder is decoded. */
final class DecodingContext implements SettingsFindings {

    /** The folder that is decoded. */
    private final SettingsFolder folder;

    /** The errors found so far. */
    private final List<SettingsError> errors = new ArrayList<>();

    /** The paths of invalid values. */
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
     * Returns the errors found so far.
     *
     * @return The errors.
     */
    List<SettingsError> errors() {
        return errors;
    }

    /**
     * Returns the position to report for an error at a path.
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
     * @param code The error code.
     * @param position The position of the value.
     * @param path The path of the key.
     * @param message The description of the error, as a full sentence.
     * @param remedy The suggested correction, as a full sentence.
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
     * Returns whether a value or an enclosing object is invalid.
     *
     * @param path The path of the value.
     * @return {@code true} if an error was added for the path or a parent path.
     */
    private boolean isFailed(KeyPath path) {
        return failedPaths.contains(path) || (!path.isRoot() && isFailed(path.parent()));
    }

    /**
     * Adds an error for a value of the wrong type or format.
     *
     * @param value The value as written.
     * @param path The path of the value.
     * @param expected A short description of the expected value.
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
     * Adds an error for a missing key, unless a file could not be parsed, since the key may be in that file.
     *
     * @param path The path of the key.
     * @param expected A short description of the expected value.
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
     * Adds an error for an unknown name.
     *
     * @param code The error code.
     * @param position The position of the name.
     * @param path The path of the name.
     * @param message The description of the error, as a full sentence.
     * @param name The unknown name.
     * @param validNames The valid names.
     */
    void addUnknown(
            SettingsErrorCode code,
            SourcePosition position,
            KeyPath path,
            String message,
            String name,
            Collection<String> validNames) {
        String remedy = NearestName.find(name, validNames)
                .map(nearest -> "Did you mean \"" + nearest + "\"?")
                .orElseGet(() -> validNames.isEmpty()
                        ? "No names are defined."
                        : "Valid names are: " + String.join(", ", validNames) + ".");
        add(code, position, path, message, remedy);
    }

    /**
     * Checks that a name is a key of a top-level map.
     *
     * @param value The value that contains the name.
     * @param name The name.
     * @param path The path of the value.
     * @param map The key of the top-level map.
     * @return {@code true} if the name is a key of the map.
     */
    boolean checkReference(SettingsValue value, String name, KeyPath path, String map) {
        Collection<String> validNames = folder.content().entries().get(map) instanceof ObjectValue object
                ? object.entries().keySet()
                : List.of();
        if (validNames.contains(name) || folder.isIncomplete()) {
            return true;
        }
        String message = "There is no \"" + name + "\" in " + map + ".";
        addUnknown(SettingsErrorCode.DANGLING_REFERENCE, value.position(), path, message, name, validNames);
        return false;
    }

    /**
     * Finds the last null that removed a key.
     *
     * @param path The path of the key.
     * @return The position of the null, or empty if there was none.
     */
    private Optional<SourcePosition> removalOf(KeyPath path) {
        return folder.removals().stream()
                .filter(removal -> removal.path().equals(path))
                .map(Removal::position)
                .reduce((_earlier, later) -> later);
    }
}
