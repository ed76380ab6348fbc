package io.yuccaswitch.core.batch;

import java.util.regex.Pattern;

/**
 * The identifier of a batch job, which its submitter chose.
 *
 * @param value The text.
 */
public record BatchJobId(String value) {

    /** What an identifier may consist of, as it becomes part of the names of objects. */
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

    /** Checks the text. */
    public BatchJobId {
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("Not an identifier of a batch job: '" + value + "'");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
