package io.yuccaswitch.settings;

import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.settings.ContainerTypes.ListType;
import io.yuccaswitch.settings.ContainerTypes.MapType;
import io.yuccaswitch.settings.ContainerTypes.OptionalType;
import io.yuccaswitch.settings.ContainerTypes.RecordType;
import java.util.ArrayList;
import java.util.List;

/** Generates Markdown tables of all keys of a settings record from the annotations of the record. */
public final class SettingsReference {

    /** The introduction of the reference page of the fleet configuration. */
    private static final String FLEET_INTRODUCTION =
            """
            # Configuration of the fleet

            This page is generated from the annotations in `io.yuccaswitch.core.configuration`; a test verifies it.
            How a folder is written, checked and applied is described in [operations/configuration.md](operations/configuration.md).

            Durations are written as `"250ms"`, `"30s"`, `"5m"` or `"1h"`. `<name>` stands for a name of the writer's choice.
            A key whose default is *required* must be written; *none* means that the key may be left out.
            """;

    /** The header of each table. */
    private static final String TABLE_HEAD =
            """
            | key | type | unit | default | bounds | meaning |
            |---|---|---|---|---|---|
            """;

    /** The output written so far. */
    private final StringBuilder output = new StringBuilder();

    /** The sections that remain to be written. */
    private final List<Section> sections = new ArrayList<>();

    /** Instances are created only by the static methods of this class. */
    private SettingsReference() {}

    /**
     * Generates the reference page of the fleet configuration.
     *
     * @return The page as Markdown.
     */
    public static String fleetPage() {
        return FLEET_INTRODUCTION + tables(FleetConfiguration.class);
    }

    /**
     * Generates the tables of a settings record and its nested records, each with a heading.
     *
     * @param type The record.
     * @return The tables as Markdown.
     */
    public static String tables(Class<? extends Record> type) {
        SettingsReference reference = new SettingsReference();
        reference.sections.add(new Section("", SettingTypes.ofRecord(type)));
        while (!reference.sections.isEmpty()) {
            reference.writeSection(reference.sections.remove(0));
        }
        return reference.output.toString();
    }

    /**
     * Writes a section and inserts its nested records at the front of the remaining sections.
     *
     * @param section The section.
     */
    private void writeSection(Section section) {
        String heading = section.prefix().isEmpty() ? "Top level" : "`" + section.prefix() + "`";
        output.append("\n## ").append(heading).append("\n\n").append(TABLE_HEAD);
        List<Section> nestedSections = new ArrayList<>();
        for (SettingKey key : section.type().keys()) {
            writeRow(key);
            String path = section.prefix().isEmpty() ? key.name() : section.prefix() + "." + key.name();
            collectSections(path, key.type(), nestedSections);
        }
        sections.addAll(0, nestedSections);
    }

    /**
     * Writes the row of a key.
     *
     * @param key The key.
     */
    private void writeRow(SettingKey key) {
        String defaultCell = key.setting().defaultValue().isEmpty()
                ? "*" + key.describeDefault() + "*"
                : "`" + key.describeDefault() + "`";
        List<String> cells = List.of(
                "`" + key.name() + "`",
                key.type().describe(),
                key.setting().unit(),
                defaultCell,
                key.type().describeBounds(),
                key.setting().description());
        output.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    /**
     * Collects the settings record of the values of a key, if any.
     *
     * @param path The path of the key.
     * @param type The type of the key.
     * @param nestedSections The sections to add to.
     */
    private static void collectSections(String path, SettingType type, List<Section> nestedSections) {
        if (type instanceof RecordType record) {
            nestedSections.add(new Section(path, record));
        } else if (type instanceof OptionalType optional) {
            collectSections(path, optional.element(), nestedSections);
        } else if (type instanceof MapType map) {
            collectSections(path + ".<name>", map.element(), nestedSections);
        } else if (type instanceof ListType list) {
            collectSections(path + "[n]", list.element(), nestedSections);
        }
    }

    /**
     * A section of the reference.
     *
     * @param prefix The path of the record, or an empty string for the outermost one.
     * @param type The record.
     */
    private record Section(String prefix, RecordType type) {}
}
