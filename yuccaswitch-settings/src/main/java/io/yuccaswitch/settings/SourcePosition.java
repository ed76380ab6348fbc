package io.yuccaswitch.settings;

import java.util.Comparator;

/**
 * The position of a value in a settings folder.
 *
 * @param file The name of the file within its folder, or the name of the folder if the value is not in a file.
 * @param line The line within the file, starting at one, or zero if the value is not in a file.
 */
public record SourcePosition(String file, int line) implements Comparable<SourcePosition> {

    /** The order by file and line. */
    private static final Comparator<SourcePosition> ORDER =
            Comparator.comparing(SourcePosition::file).thenComparingInt(SourcePosition::line);

    /** {@inheritDoc} */
    @Override
    public int compareTo(SourcePosition other) {
        return ORDER.compare(this, other);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return line == 0 ? file : file + ":" + line;
    }
}
