package io.yuccaswitch.settings;

import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.value.Bytes;
import java.util.Map;

/** Encodes a folder with the fleet configuration, and decodes the configuration from a folder or its encoding. */
public final class FleetConfigurationCodec {

    /** The file name that errors report for encoded content. */
    private static final String CONTENT_NAME = "content";

    /** This class has no instances. */
    private FleetConfigurationCodec() {}

    /**
     * Decodes and validates a folder.
     *
     * @param folder The folder.
     * @return The configuration, or all errors.
     */
    public static SettingsResult<FleetConfiguration> decode(SettingsFolder folder) {
        return SettingsDecoder.decode(folder, FleetConfiguration.class, FleetConfigurationChecks.all());
    }

    /**
     * Decodes and validates the result of {@link #encode}. Nodes use this for the content that the platform stores.
     *
     * @param content The encoded folder.
     * @return The configuration, or all errors.
     */
    public static SettingsResult<FleetConfiguration> decode(Bytes content) {
        return decode(folderOf(content));
    }

    /**
     * Encodes the merged content of a folder without defaults, so that equal content has equal encodings.
     *
     * @param folder The folder, which must be valid.
     * @return The canonical JSON.
     */
    public static Bytes encode(SettingsFolder folder) {
        return CanonicalJson.encode(folder.content());
    }

    /**
     * Converts encoded content into a folder with a single file.
     *
     * @param content The encoded folder.
     * @return The folder.
     */
    public static SettingsFolder folderOf(Bytes content) {
        return SettingsFolder.ofTexts(CONTENT_NAME, Map.of(CONTENT_NAME, content.toUtf8()));
    }
}
