package io.yuccaswitch.core.identity;

import java.util.regex.Pattern;

/** The rule that all names share. */
final class Names {

    /** Letters, digits, dots, hyphens and underscores, at most 128 of them, starting with a letter or digit. */
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    /** This class has no instances. */
    private Names() {}

    /**
     * Checks a name.
     *
     * @param name The name to check.
     * @return The name.
     * @throws IllegalArgumentException If the name breaks the rule.
     */
    static String check(String name) {
        if (!PATTERN.matcher(name).matches()) {
            throw new IllegalArgumentException("Not a name: '" + name + "'");
        }
        return name;
    }
}
