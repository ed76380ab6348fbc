package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.account.ClientAccount;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The identifier of a batch job: the submitter's identifier, and the account that the job belongs to. As the account is
 * part of the identifier, jobs of other accounts do not exist for a caller, for every call and at every node.
 *
 * @param value The text: the submitter's identifier, and, at a site with accounts, a tilde and the account's name,
 *     which is empty for a job without an account.
 */
public record BatchJobId(String value) {

    /** The separator between the submitter's identifier and the account. */
    private static final char ACCOUNT_SEPARATOR = '~';

    /** The allowed identifiers, which are restricted because they become part of the names of objects. */
    private static final Pattern PATTERN =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}(~([A-Za-z0-9][A-Za-z0-9._-]{0,99})?)?");

    /** Validates the text. */
    public BatchJobId {
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("Not an identifier of a batch job: '" + value + "'");
        }
    }

    /**
     * Parses the identifier that a submitter chose.
     *
     * @param text The text, which must not contain an account.
     * @return The identifier of a job at a site without accounts.
     */
    public static BatchJobId chosen(String text) {
        if (text.indexOf(ACCOUNT_SEPARATOR) >= 0) {
            throw new IllegalArgumentException("Not an identifier of a batch job: '" + text + "'");
        }
        return new BatchJobId(text);
    }

    /**
     * Returns the identifier of the job that an account refers to by this identifier.
     *
     * @param account The account of the caller.
     * @return The identifier with the account.
     */
    public BatchJobId ownedBy(ClientAccount account) {
        if (!account.isChecked()) {
            return this;
        }
        return new BatchJobId(value
                + ACCOUNT_SEPARATOR
                + account.name().map(AccountName::value).orElse(""));
    }

    /**
     * Returns whether the job was submitted at a site with accounts.
     *
     * @return {@code true} if it was.
     */
    public boolean isChecked() {
        return value.indexOf(ACCOUNT_SEPARATOR) >= 0;
    }

    /**
     * Returns the account that the job belongs to.
     *
     * @return The account, or empty if it belongs to none.
     */
    public Optional<AccountName> account() {
        String name = value.substring(value.indexOf(ACCOUNT_SEPARATOR) + 1);
        return isChecked() && !name.isEmpty() ? Optional.of(new AccountName(name)) : Optional.empty();
    }

    @Override
    public String toString() {
        return value;
    }
}
