package io.yuccaswitch.core.account;

import java.util.Optional;
import java.util.OptionalInt;

/** Whose a request is. */
public sealed interface ClientAccount {

    /**
     * Returns the name that endpoints are told.
     *
     * @return The name, or empty if the request belongs to no account.
     */
    Optional<AccountName> name();

    /**
     * Tells whether the request's own headers on accounts are the node's to remove or replace.
     *
     * @return {@code true} if the site has accounts.
     */
    boolean isChecked();

    /**
     * Returns the rank that goes before that of the route.
     *
     * @return The rank, or empty if the account has none.
     */
    default OptionalInt priority() {
        return OptionalInt.empty();
    }

    /** A request at a site that has no accounts. Its headers on accounts mean nothing here and go through. */
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

    /** A request of nobody in particular, on a route that demands no key. */
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
     * @param priority The rank of its requests, if it has one.
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
