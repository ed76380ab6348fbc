package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.value.Bytes;

/**
 * An object as the platform returned it.
 *
 * @param key The object's key.
 * @param version The version of the object. The platform increases it with each write of any object.
 * @param value The object's value, at most one megabyte.
 * @param deleted {@code true} if the object was deleted at this version, such that the value is empty.
 */
public record StoredObject(ObjectKey key, long version, Bytes value, boolean deleted) {}
