package io.yuccaswitch.core.identity;

import java.util.regex.Pattern;

/** The syntax that all names share. */
final class Names {

    /** Letters, digits, dots, hyphens and underscores, at most 128 of them, starting with a letter or digit. */
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    /** This class has no instances. */
    private Names() {}

    /**
     * Checks a name.
     *
     * @param name The name to check.
     * @return The name.
     * @throws IllegalArgumentException If the name does not match the syntax.
     */
    static String check(String name) {
        if (!NAME_PATTERN.matcher(name).matches()) {
            throw new IllegalArgumentException("Invalid name: '" + name + "'");
        }
        return name;
    }
}
