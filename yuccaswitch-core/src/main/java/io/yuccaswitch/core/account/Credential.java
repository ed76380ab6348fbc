package io.yuccaswitch.core.account;

/** What a request presents to tell whose it is. */
public sealed interface Credential {

    /** The request presents nothing. */
    record Absent() implements Credential {}

    /** The request presents something that is not one key, such as two keys at once. */
    record Unreadable() implements Credential {}

    /**
     * The request presents a key.
     *
     * @param digest The digest of the key.
     */
    record Key(KeyDigest digest) implements Credential {}
}
