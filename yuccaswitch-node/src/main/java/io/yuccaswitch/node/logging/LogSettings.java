package io.yuccaswitch.node.logging;

import io.yuccaswitch.core.configuration.Setting;
import java.util.Map;

/**
 * The settings of a node's logs.
 *
 * @param format The format of log lines.
 * @param levels The levels of loggers by their names, such as {@code DEBUG}.
 */
public record LogSettings(
        @Setting(description = "How log lines are written.", defaultValue = "key-value") LogFormat format,
        @Setting(description = "The levels of loggers by their names, where the name root stands for all.")
                Map<String, String> levels) {

    /** Copies the levels. */
    public LogSettings {
        levels = Map.copyOf(levels);
    }
}
