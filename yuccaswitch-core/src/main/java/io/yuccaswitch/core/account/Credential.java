package io.yuccaswitch.core.account;

/** The credential by which a request identifies its account. */
public sealed interface Credential {

    /** The request presents no credential. */
    record Absent() implements Credential {}

    /** The request presents a credential that is not a single key, for example two keys. */
    record Unreadable() implements Credential {}

    /**
     * The request presents a key.
     *
     * @param digest The digest of the key.
     */
    record Key(KeyDigest digest) implements Credential {}
}
