package io.yuccaswitch.settings;

import io.yuccaswitch.settings.SettingsFileParser.ParsedFile;
import io.yuccaswitch.settings.SettingsMerge.Removal;
import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A folder of settings: its {@code *.json} files merged in the order of their names. Read errors are kept with the
 * content, so that a decoder can report them together with its own errors.
 */
public final class SettingsFolder {

    /** The suffix of the names of settings files. */
    private static final String FILE_SUFFIX = ".json";

    /** The name of the folder, for errors that do not concern a specific file. */
    private final String name;

    /** The names of the files in the order in which they were merged. */
    private final List<String> files;

    /** The merged content. */
    private final ObjectValue content;

    /** The nulls that removed keys. */
    private final List<Removal> removals;

    /** The read and syntax errors. */
    private final List<SettingsError> errors;

    /**
     * Creates a new folder.
     *
     * @param name The name of the folder.
     * @param files The names of the files.
     * @param content The merged content.
     * @param removals The nulls that removed keys.
     * @param errors The read and syntax errors.
     */
    private SettingsFolder(
            String name, List<String> files, ObjectValue content, List<Removal> removals, List<SettingsError> errors) {
        this.name = name;
        this.files = List.copyOf(files);
        this.content = content;
        this.removals = List.copyOf(removals);
        this.errors = List.copyOf(errors);
    }

    /**
     * Reads a folder. Files in subfolders, hidden files and files with other suffixes are ignored.
     *
     * @param folder The folder to read, or a single file.
     * @return The merged folder with any read and syntax errors.
     */
    public static SettingsFolder read(Path folder) {
        SortedMap<String, byte[]> contents = new TreeMap<>();
        List<SettingsError> errors = new ArrayList<>();
        String name = folder.toString();
        if (Files.isRegularFile(folder)) {
            readFile(folder, contents, errors);
            return merge(name, contents, errors);
        }
        try (DirectoryStream<Path> paths = Files.newDirectoryStream(folder, SettingsFolder::isSettingsFile)) {
            for (Path path : paths) {
                readFile(path, contents, errors);
            }
        } catch (IOException | DirectoryIteratorException e) {
            return unreadable(name, "The folder cannot be read: " + e + ".", "Check that it exists and is readable.");
        }
        if (contents.isEmpty() && errors.isEmpty()) {
            return unreadable(
                    name, "The folder has no *.json files.", "Specify a folder with at least one settings file.");
        }
        return merge(name, contents, errors);
    }

    /**
     * Merges files that are already in memory.
     *
     * @param name The name of the folder, for errors that do not concern a specific file.
     * @param texts The contents of the files by their names.
     * @return The merged folder with any syntax errors.
     */
    public static SettingsFolder ofTexts(String name, Map<String, String> texts) {
        SortedMap<String, byte[]> contents = new TreeMap<>();
        texts.forEach((file, text) -> contents.put(file, text.getBytes(StandardCharsets.UTF_8)));
        return merge(name, contents, List.of());
    }

    /**
     * Decodes the folder into a settings record.
     *
     * @param type The record, whose components are annotated with {@link io.yuccaswitch.core.configuration.Setting}.
     * @param <T> The type of the record.
     * @return The settings, or all errors in the folder.
     */
    public <T extends Record> SettingsResult<T> decode(Class<T> type) {
        return SettingsDecoder.decode(this, type);
    }

    /**
     * Returns the name of the folder.
     *
     * @return The name of the folder.
     */
    public String name() {
        return name;
    }

    /**
     * Returns the names of the files in the order in which they were merged.
     *
     * @return The names of the files.
     */
    public List<String> files() {
        return files;
    }

    /**
     * Returns the merged content.
     *
     * @return The merged content, without files that could not be parsed.
     */
    public ObjectValue content() {
        return content;
    }

    /**
     * Returns the read and syntax errors.
     *
     * @return The errors, which are empty if all files could be parsed.
     */
    public List<SettingsError> errors() {
        return errors;
    }

    /**
     * Finds the value at a path.
     *
     * @param path The path.
     * @return The value, or empty if there is no value.
     */
    public Optional<SettingsValue> find(KeyPath path) {
        SettingsValue value = content;
        for (String segment : path.segments()) {
            if (!(value instanceof ObjectValue object) || !object.entries().containsKey(segment)) {
                return Optional.empty();
            }
            value = object.entries().get(segment);
        }
        return Optional.of(value);
    }

    /**
     * Returns the position to report for an error at a path: the position of the value, or of the innermost enclosing
     * object if there is no value.
     *
     * @param path The path.
     * @return The position.
     */
    public SourcePosition positionOf(KeyPath path) {
        Optional<SettingsValue> value = find(path);
        if (value.isPresent()) {
            return value.get().position();
        }
        return path.isRoot() ? content.position() : positionOf(path.parent());
    }

    /**
     * Returns the nulls that removed keys.
     *
     * @return The removals in the order in which they were merged.
     */
    List<Removal> removals() {
        return removals;
    }

    /**
     * Returns whether a part of the folder could not be read or parsed.
     *
     * @return {@code true} if the content of a file is missing.
     */
    boolean isIncomplete() {
        return errors.stream()
                .anyMatch(e -> e.code() == SettingsErrorCode.SYNTAX || e.code() == SettingsErrorCode.UNREADABLE);
    }

    /**
     * Parses and merges files.
     *
     * @param name The name of the folder.
     * @param contents The contents of the files in the order of their names.
     * @param readErrors The errors that occurred while reading.
     * @return The merged folder.
     */
    private static SettingsFolder merge(
            String name, SortedMap<String, byte[]> contents, List<SettingsError> readErrors) {
        SettingsMerge merge = new SettingsMerge();
        List<SettingsError> errors = new ArrayList<>(readErrors);
        ObjectValue merged = ObjectValue.empty(new SourcePosition(name, 0));
        for (Map.Entry<String, byte[]> file : contents.entrySet()) {
            ParsedFile parsed = SettingsFileParser.parse(file.getKey(), file.getValue());
            errors.addAll(parsed.errors());
            if (parsed.content().isPresent()) {
                merged = merge.merge(merged, parsed.content().get());
            }
        }
        return new SettingsFolder(name, List.copyOf(contents.keySet()), merged, merge.removals(), errors);
    }

    /**
     * Reads one file.
     *
     * @param path The file.
     * @param contents The contents to add to.
     * @param errors The errors to add to.
     */
    private static void readFile(Path path, SortedMap<String, byte[]> contents, List<SettingsError> errors) {
        String file = path.getFileName().toString();
        try {
            contents.put(file, Files.readAllBytes(path));
        } catch (IOException e) {
            errors.add(SettingsError.at(
                    SettingsErrorCode.UNREADABLE,
                    new SourcePosition(file, 0),
                    KeyPath.ROOT,
                    "The file cannot be read: " + e + ".",
                    "Check the permissions of the file."));
        }
    }

    /**
     * Returns whether a path is a settings file.
     *
     * @param path The path.
     * @return {@code true} if the file should be read.
     */
    private static boolean isSettingsFile(Path path) {
        String file = path.getFileName().toString();
        return file.endsWith(FILE_SUFFIX) && !file.startsWith(".") && !Files.isDirectory(path);
    }

    /**
     * Creates a folder that could not be read.
     *
     * @param name The name of the folder.
     * @param message The description of the error.
     * @param remedy The suggested correction.
     * @return A folder that contains only the error.
     */
    private static SettingsFolder unreadable(String name, String message, String remedy) {
        SourcePosition position = new SourcePosition(name, 0);
        SettingsError error = SettingsError.at(SettingsErrorCode.UNREADABLE, position, KeyPath.ROOT, message, remedy);
        return new SettingsFolder(name, List.of(), ObjectValue.empty(position), List.of(), List.of(error));
    }
}
