package io.yuccaswitch.core.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The accounts of one configuration, found by the digests of their keys. */
public final class AccountDirectory {

    /** The directory of a site that has no accounts. */
    public static final AccountDirectory NONE = new AccountDirectory(List.of(), false);

    /** The accounts by the digests of their keys. */
    private final Map<KeyDigest, Account> byKey = new HashMap<>();

    /** Whether the site has accounts, be it that none has a key. */
    private final boolean inUse;

    /**
     * Creates a directory.
     *
     * @param accounts The accounts.
     * @param inUse Whether the site has accounts.
     */
    private AccountDirectory(Collection<Account> accounts, boolean inUse) {
        this.inUse = inUse;
        Set<KeyDigest> shared = new HashSet<>();
        for (Account account : accounts) {
            for (KeyDigest key : account.keys()) {
                Account other = byKey.putIfAbsent(key, account);
                if (other != null && !other.name().equals(account.name())) {
                    shared.add(key);
                }
            }
        }
        byKey.keySet().removeAll(shared);
    }

    /**
     * Creates the directory of a site with accounts. A key that stands with two accounts opens neither, as it does not
     * tell whose a request is.
     *
     * @param accounts The accounts.
     * @return The directory.
     */
    public static AccountDirectory of(Collection<Account> accounts) {
        return new AccountDirectory(accounts, true);
    }

    /**
     * Tells whether requests have to bear a key.
     *
     * @return {@code true} if the site has accounts.
     */
    public boolean isInUse() {
        return inUse;
    }

    /**
     * Finds out whose a request is.
     *
     * @param credential What the request presents.
     * @param open Whether the request may come without a key.
     * @return Whose it is, or empty if it is to be turned away.
     */
    public Optional<ClientAccount> authenticate(Credential credential, boolean open) {
        if (!inUse) {
            return Optional.of(new ClientAccount.Unchecked());
        }
        Optional<ClientAccount> named = credential instanceof Credential.Key key
                ? Optional.ofNullable(byKey.get(key.digest()))
                        .map(account -> new ClientAccount.Named(account.name(), account.priority()))
                : Optional.empty();
        return named.isEmpty() && open ? Optional.of(new ClientAccount.Anonymous()) : named;
    }
}
