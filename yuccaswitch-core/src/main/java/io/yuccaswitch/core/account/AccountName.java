package io.yuccaswitch.core.account;

import java.util.regex.Pattern;

/**
 * The name of a client account.
 *
 * @param value The name, which becomes part of the names of objects on the platform.
 */
public record AccountName(String value) implements Comparable<AccountName> {

    /** The allowed names. */
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

    /** Validates the name. */
    public AccountName {
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("Invalid account name: '" + value + "'");
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
