package io.yuccaswitch.testkit.platform;

import java.util.List;

/**
 * A list of changes or objects of one kind.
 *
 * @param version The version up to which the list is complete.
 * @param reset Whether the changes since the requested version are no longer available.
 * @param revisions The revisions ordered by version.
 */
record Changes(long version, boolean reset, List<Revision> revisions) {

    /** Copies the list. */
    Changes {
        revisions = List.copyOf(revisions);
    }
}
