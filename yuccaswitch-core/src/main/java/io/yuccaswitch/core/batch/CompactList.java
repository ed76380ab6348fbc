package io.yuccaswitch.core.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Describes identifiers for a log line of bounded length. Identifiers that differ in the number at their end are joined
 * in the notation of a shell's brace expansion, such as <code>job-{0..3,7}</code>.
 */
public final class CompactList {

    /** The maximum number of ranges in a description. */
    private static final int MAXIMUM_RANGES = 40;

    /** The number of characters after which a description ends. */
    private static final int MAXIMUM_CHARACTERS = 600;

    /** The maximum number of digits that are read as a number, so that it fits into 64 bits. */
    private static final int MAXIMUM_DIGITS = 18;

    /** This class has no instances. */
    private CompactList() {}

    /**
     * Describes identifiers.
     *
     * @param ids The identifiers.
     * @return The sorted identifiers, separated by spaces, and the number of those that were left out, if any.
     */
    public static String of(List<String> ids) {
        List<Range> kept = new ArrayList<>();
        int characters = 0;
        int described = 0;
        for (Range range : ranges(ids)) {
            characters += range.length(kept);
            if (kept.size() == MAXIMUM_RANGES || characters > MAXIMUM_CHARACTERS) {
                break;
            }
            kept.add(range);
            described += range.size();
        }
        List<String> words = new ArrayList<>();
        int start = 0;
        while (start < kept.size()) {
            int end = endOfPrefix(kept, start);
            words.add(join(kept.subList(start, end)));
            start = end;
        }
        if (described < ids.size()) {
            words.add("and " + (ids.size() - described) + " more");
        }
        return String.join(" ", words);
    }

    /**
     * Joins identifiers with consecutive numbers.
     *
     * @param ids The identifiers.
     * @return The sorted ranges.
     */
    private static List<Range> ranges(List<String> ids) {
        List<Range> ranges = new ArrayList<>();
        List<Range> sorted = ids.stream()
                .map(CompactList::parse)
                .sorted(Comparator.comparing(Range::prefix)
                        .thenComparingInt(range -> range.first().length())
                        .thenComparing(Range::first))
                .toList();
        for (Range next : sorted) {
            int last = ranges.size() - 1;
            if (last >= 0 && ranges.get(last).isFollowedBy(next)) {
                ranges.set(last, ranges.get(last).extendedTo(next));
            } else {
                ranges.add(next);
            }
        }
        return ranges;
    }

    /**
     * Splits an identifier into the number at its end and the text before it.
     *
     * @param id The identifier.
     * @return A range of this identifier alone.
     */
    private static Range parse(String id) {
        int start = id.length();
        while (start > 0 && id.charAt(start - 1) >= '0' && id.charAt(start - 1) <= '9') {
            start--;
        }
        if (id.length() - start > MAXIMUM_DIGITS) {
            start = id.length();
        }
        String number = id.substring(start);
        return new Range(id.substring(0, start), number, number, 1);
    }

    /**
     * Finds the end of the ranges with a common prefix.
     *
     * @param ranges The ranges.
     * @param start The position of the first of them.
     * @return The position after the last of them.
     */
    private static int endOfPrefix(List<Range> ranges, int start) {
        int end = start + 1;
        while (end < ranges.size()
                && !ranges.get(end).first().isEmpty()
                && ranges.get(end).prefix().equals(ranges.get(start).prefix())) {
            end++;
        }
        return end;
    }

    /**
     * Joins ranges with a common prefix.
     *
     * @param ranges The ranges.
     * @return The description.
     */
    private static String join(List<Range> ranges) {
        Range first = ranges.get(0);
        if (ranges.size() == 1 && first.size() == 1) {
            return first.prefix() + first.first();
        }
        return first.prefix() + ranges.stream().map(Range::numbers).collect(Collectors.joining(",", "{", "}"));
    }

    /**
     * Identifiers with a common prefix and consecutive numbers.
     *
     * @param prefix The text before the number.
     * @param first The first number, or an empty text if the identifier does not end with a number.
     * @param last The last number.
     * @param size The number of identifiers.
     */
    private record Range(String prefix, String first, String last, int size) {

        /**
         * Returns whether an identifier directly follows this range.
         *
         * @param next A range of one identifier.
         * @return {@code true} if it has the same prefix and the next number.
         */
        boolean isFollowedBy(Range next) {
            return prefix.equals(next.prefix)
                    && !last.isEmpty()
                    && next.first.equals(String.format("%0" + last.length() + "d", Long.parseLong(last) + 1));
        }

        /**
         * Returns this range with one more identifier.
         *
         * @param next A range of the identifier.
         * @return The range.
         */
        Range extendedTo(Range next) {
            return new Range(prefix, first, next.last, size + next.size);
        }

        /**
         * Returns the number of characters that this range adds to a description.
         *
         * @param earlier The ranges before it.
         * @return The number of characters.
         */
        int length(List<Range> earlier) {
            boolean joined = !earlier.isEmpty()
                    && earlier.get(earlier.size() - 1).prefix().equals(prefix);
            return numbers().length() + 1 + (joined ? 0 : prefix.length());
        }

        /**
         * Returns the numbers.
         *
         * @return The only number, or the first and the last.
         */
        String numbers() {
            return size == 1 ? first : first + ".." + last;
        }
    }
}
