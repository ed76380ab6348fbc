package io.yuccaswitch.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Finds the known name that a misspelt one most likely stands for. */
final class NearestName {

    /** A name of this many letters may have one wrong, one of twice as many two, and so on. */
    private static final int LETTERS_PER_MISTAKE = 3;

    /** This class has no instances. */
    private NearestName() {}

    /**
     * Finds the nearest known name.
     *
     * @param name The misspelt name.
     * @param known The known names.
     * @return The nearest name, or empty if none is near.
     */
    static Optional<String> find(String name, Collection<String> known) {
        int allowed = Math.max(1, name.length() / LETTERS_PER_MISTAKE);
        return known.stream()
                .filter(candidate -> distance(name, candidate) <= allowed)
                .min(Comparator.<String>comparingInt(candidate -> distance(name, candidate))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /**
     * Counts the letters to insert, delete or replace that turn one name into another (Levenshtein's distance), where
     * case does not matter.
     *
     * @param left The one name.
     * @param right The other name.
     * @return The number of letters.
     */
    private static int distance(String left, String right) {
        String from = left.toLowerCase(Locale.ROOT);
        String to = right.toLowerCase(Locale.ROOT);
        int[] previous = new int[to.length() + 1];
        for (int j = 0; j <= to.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= from.length(); i++) {
            int[] current = new int[to.length() + 1];
            current[0] = i;
            for (int j = 1; j <= to.length(); j++) {
                int replaced = previous[j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(replaced, Math.min(previous[j], current[j - 1]) + 1);
            }
            previous = current;
        }
        return previous[to.length()];
    }
}
