package io.yuccaswitch.node.logging;

import io.yuccaswitch.core.configuration.Setting;
import java.util.Map;

/**
 * How a node writes its logs.
 *
 * @param format How log lines are written.
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
