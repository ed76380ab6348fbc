package io.yuccaswitch.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations in settings, such as {@code 250ms}, {@code 30s}, {@code 5m} or {@code 1h}. */
public final class Durations {

    /** An integer of at most nine digits followed by a unit. */
    private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

    /** This class has no instances. */
    private Durations() {}

    /**
     * Parses a duration.
     *
     * @param text The text.
     * @return The duration, or empty if the text is not a valid duration.
     */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = DURATION_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long amount = Long.parseLong(matcher.group(1));
        return Optional.of(
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(amount);
                    case "s" -> Duration.ofSeconds(amount);
                    case "m" -> Duration.ofMinutes(amount);
                    default -> Duration.ofHours(amount);
                });
    }

    /**
     * Parses a duration that an annotation specifies.
     *
     * @param text The text.
     * @return The duration.
     */
    static Duration require(String text) {
        return parse(text).orElseThrow(() -> new IllegalArgumentException("Not a duration: '" + text + "'"));
    }
}
