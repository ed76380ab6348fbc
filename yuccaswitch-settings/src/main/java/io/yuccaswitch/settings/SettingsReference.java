package io.yuccaswitch.settings;

import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.settings.ContainerTypes.ListType;
import io.yuccaswitch.settings.ContainerTypes.MapType;
import io.yuccaswitch.settings.ContainerTypes.OptionalType;
import io.yuccaswitch.settings.ContainerTypes.RecordType;
import java.util.ArrayList;
import java.util.List;

/** Prints the reference of all keys of a record of settings as Markdown tables, from the annotations alone. */
public final class SettingsReference {

    /** The introduction of the page of the fleet's configuration. */
    private static final String FLEET_INTRODUCTION =
            """
            # Configuration of the fleet

            This page is generated from the annotations in `io.yuccaswitch.core.configuration`; a test holds it to them.
            How a folder is written, checked and applied is told in [operations/configuration.md](operations/configuration.md).

            Durations are written as `"250ms"`, `"30s"`, `"5m"` or `"1h"`. `<name>` stands for a name of the writer's choice.
            A key whose default is *required* must be written; *none* means that the key may be left out.
            """;

    /** The head of each table. */
    private static final String TABLE_HEAD =
            """
            | key | type | unit | default | bounds | meaning |
            |---|---|---|---|---|---|
            """;

    /** The lines written so far. */
    private final StringBuilder output = new StringBuilder();

    /** The sections that are still to be written. */
    private final List<Section> sections = new ArrayList<>();

    /** This class is used by its static methods. */
    private SettingsReference() {}

    /**
     * Prints the page of the fleet's configuration.
     *
     * @return The page as Markdown.
     */
    public static String fleetPage() {
        return FLEET_INTRODUCTION + tables(FleetConfiguration.class);
    }

    /**
     * Prints the tables of a record of settings and of the records within it, each under a heading.
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
     * Writes a section, and puts the records within it first in line.
     *
     * @param section The section.
     */
    private void writeSection(Section section) {
        String heading = section.prefix().isEmpty() ? "Top level" : "`" + section.prefix() + "`";
        output.append("\n## ").append(heading).append("\n\n").append(TABLE_HEAD);
        List<Section> inner = new ArrayList<>();
        for (SettingKey key : section.type().keys()) {
            writeRow(key);
            String path = section.prefix().isEmpty() ? key.name() : section.prefix() + "." + key.name();
            collectSections(path, key.type(), inner);
        }
        sections.addAll(0, inner);
    }

    /**
     * Writes the row of a key.
     *
     * @param key The key.
     */
    private void writeRow(SettingKey key) {
        String marked = key.setting().defaultValue().isEmpty()
                ? "*" + key.describeDefault() + "*"
                : "`" + key.describeDefault() + "`";
        List<String> cells = List.of(
                "`" + key.name() + "`",
                key.type().describe(),
                key.setting().unit(),
                marked,
                key.type().describeBounds(),
                key.setting().description());
        output.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    /**
     * Collects the record that the values of a key are made of, if any.
     *
     * @param path The path of the key.
     * @param type The type of the key.
     * @param inner The sections to add to.
     */
    private static void collectSections(String path, SettingType type, List<Section> inner) {
        if (type instanceof RecordType record) {
            inner.add(new Section(path, record));
        } else if (type instanceof OptionalType optional) {
            collectSections(path, optional.element(), inner);
        } else if (type instanceof MapType map) {
            collectSections(path + ".<name>", map.element(), inner);
        } else if (type instanceof ListType list) {
            collectSections(path + "[n]", list.element(), inner);
        }
    }

    /**
     * A section of the reference.
     *
     * @param prefix The path of the record, or an empty text for the outermost one.
     * @param type The record.
     */
    private record Section(String prefix, RecordType type) {}
}
