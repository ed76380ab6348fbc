package io.yuccaswitch.settings;

import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.value.Bytes;
import java.util.Map;

/** Turns the fleet's configuration from a folder into bytes, and from either into values. */
public final class FleetConfigurationCodec {

    /** The name under which encoded content stands in errors. */
    private static final String CONTENT_NAME = "content";

    /** This class has no instances. */
    private FleetConfigurationCodec() {}

    /**
     * Decodes and checks a folder.
     *
     * @param folder The folder.
     * @return The configuration, or all errors.
     */
    public static SettingsResult<FleetConfiguration> decode(SettingsFolder folder) {
        return SettingsDecoder.decode(folder, FleetConfiguration.class, FleetConfigurationChecks.all());
    }

    /**
     * Decodes and checks what {@link #encode} returned, as nodes do with the content that the platform holds.
     *
     * @param content The encoded folder.
     * @return The configuration, or all errors.
     */
    public static SettingsResult<FleetConfiguration> decode(Bytes content) {
        return decode(folderOf(content));
    }

    /**
     * Encodes the merged content of a folder, without defaults, such that equal content gives equal bytes.
     *
     * @param folder The folder, which must have been found to be right.
     * @return The canonical JSON.
     */
    public static Bytes encode(SettingsFolder folder) {
        return CanonicalJson.encode(folder.content());
    }

    /**
     * Reads encoded content as if it were a folder of one file.
     *
     * @param content The encoded folder.
     * @return The folder.
     */
    public static SettingsFolder folderOf(Bytes content) {
        return SettingsFolder.ofTexts(CONTENT_NAME, Map.of(CONTENT_NAME, content.toUtf8()));
    }
}
