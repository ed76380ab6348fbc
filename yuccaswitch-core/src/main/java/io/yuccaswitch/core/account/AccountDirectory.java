package io.yuccaswitch.core.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The client accounts of one configuration, indexed by the digests of their keys. */
public final class AccountDirectory {

    /** The directory of a site that has no accounts. */
    public static final AccountDirectory NONE = new AccountDirectory(List.of(), false);

    /** The accounts by the digests of their keys. */
    private final Map<KeyDigest, Account> byKey = new HashMap<>();

    /** Whether the site uses accounts, even if none of them has a key. */
    private final boolean inUse;

    /**
     * Creates a directory.
     *
     * @param accounts The accounts.
     * @param inUse Whether the site uses accounts.
     */
    private AccountDirectory(Collection<Account> accounts, boolean inUse) {
        this.inUse = inUse;
        Set<KeyDigest> ambiguous = new HashSet<>();
        for (Account account : accounts) {
            for (KeyDigest key : account.keys()) {
                Account other = byKey.putIfAbsent(key, account);
                if (other != null && !other.name().equals(account.name())) {
                    ambiguous.add(key);
                }
            }
        }
        byKey.keySet().removeAll(ambiguous);
    }

    /**
     * Creates the directory of a site with accounts. A key that is listed for two accounts authenticates neither,
     * because it does not identify the caller.
     *
     * @param accounts The accounts.
     * @return The directory.
     */
    public static AccountDirectory of(Collection<Account> accounts) {
        return new AccountDirectory(accounts, true);
    }

    /**
     * Returns whether requests must present a key.
     *
     * @return {@code true} if the site uses accounts.
     */
    public boolean isInUse() {
        return inUse;
    }

    /**
     * Authenticates a request.
     *
     * @param credential The credential that the request presents.
     * @param anonymousAllowed Whether the request is accepted without a valid key.
     * @return The account of the request, or empty if the request must be rejected.
     */
    public Optional<ClientAccount> authenticate(Credential credential, boolean anonymousAllowed) {
        if (!inUse) {
            return Optional.of(new ClientAccount.Unchecked());
        }
        Optional<ClientAccount> named = credential instanceof Credential.Key key
                ? Optional.ofNullable(byKey.get(key.digest()))
                        .map(account -> new ClientAccount.Named(account.name(), account.priority()))
                : Optional.empty();
        return named.isEmpty() && anonymousAllowed ? Optional.of(new ClientAccount.Anonymous()) : named;
    }
}
