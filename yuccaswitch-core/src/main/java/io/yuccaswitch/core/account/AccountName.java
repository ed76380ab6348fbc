package io.yuccaswitch.core.account;

import java.util.regex.Pattern;

/**
 * The name of a client account.
 *
 * @param value The text, which becomes part of the names of objects on the platform.
 */
public record AccountName(String value) implements Comparable<AccountName> {

    /** What a name may consist of. */
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

    /** Checks the text. */
    public AccountName {
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("Not the name of an account: '" + value + "'");
        }
    }

    @Override
    public int compareTo(AccountName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
