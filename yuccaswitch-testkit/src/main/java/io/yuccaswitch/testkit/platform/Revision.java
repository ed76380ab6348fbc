package io.yuccaswitch.testkit.platform;

import okio.ByteString;

/**
 * One state of an object.
 *
 * @param kind The object's kind.
 * @param name The object's name.
 * @param version The version that the write created.
 * @param value The value, empty if the object was deleted.
 * @param deleted Whether the object was deleted.
 * @param writtenAt The time of the write, in nanoseconds of the monotonic clock.
 */
record Revision(String kind, String name, long version, ByteString value, boolean deleted, long writtenAt) {}
