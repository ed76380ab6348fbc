package io.yuccaswitch.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Finds the valid name that is most similar to a misspelt name. */
final class NearestName {

    /**
     * The number of letters per permitted mistake: one mistake in up to 5 letters, two from 6 letters on, and so on.
     */
    private static final int LETTERS_PER_MISTAKE = 3;

    /** This class has no instances. */
    private NearestName() {}

    /**
     * Finds the nearest valid name.
     *
     * @param name The misspelt name.
     * @param validNames The valid names.
     * @return The nearest name, or empty if no name is similar enough.
     */
    static Optional<String> find(String name, Collection<String> validNames) {
        int maximumDistance = Math.max(1, name.length() / LETTERS_PER_MISTAKE);
        return validNames.stream()
                .filter(candidate -> distance(name, candidate) <= maximumDistance)
                .min(Comparator.<String>comparingInt(candidate -> distance(name, candidate))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /**
     * Computes the case-insensitive Levenshtein distance between two names: the number of letters to insert, delete or
     * replace to turn one name into the other.
     *
     * @param left The first name.
     * @param right The second name.
     * @return The distance.
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
