package io.yuccaswitch.core.account;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account of the configuration.
 *
 * @param name The name.
 * @param priority The priority of its requests, where 0 is the highest; it overrides the priority of their route.
 * @param keys The digests of its API keys.
 */
public record Account(AccountName name, OptionalInt priority, List<KeyDigest> keys) {

    /** Copies the keys. */
    public Account {
        keys = List.copyOf(keys);
    }
}
