package io.yuccaswitch.core.account;

import java.util.Optional;
import java.util.OptionalInt;

/** The account to which a request belongs. */
public sealed interface ClientAccount {

    /**
     * Returns the account name that is forwarded to endpoints.
     *
     * @return The name, or empty if the request belongs to no account.
     */
    Optional<AccountName> name();

    /**
     * Returns whether the node removes or replaces the account headers of the request.
     *
     * @return {@code true} if the site uses accounts.
     */
    boolean isChecked();

    /**
     * Returns the priority that overrides the priority of the route.
     *
     * @return The priority, or empty if the account has none.
     */
    default OptionalInt priority() {
        return OptionalInt.empty();
    }

    /** A request at a site without accounts. Its account headers are not interpreted and are forwarded unchanged. */
    record Unchecked() implements ClientAccount {

        @Override
        public Optional<AccountName> name() {
            return Optional.empty();
        }

        @Override
        public boolean isChecked() {
            return false;
        }
    }

    /** A request without an account, on a route that requires no key. */
    record Anonymous() implements ClientAccount {

        @Override
        public Optional<AccountName> name() {
            return Optional.empty();
        }

        @Override
        public boolean isChecked() {
            return true;
        }
    }

    /**
     * A request of an account.
     *
     * @param account The name of the account.
     * @param priority The priority of its requests, or empty if the account has none.
     */
    record Named(AccountName account, OptionalInt priority) implements ClientAccount {

        @Override
        public Optional<AccountName> name() {
            return Optional.of(account);
        }

        @Override
        public boolean isChecked() {
            return true;
        }
    }
}
