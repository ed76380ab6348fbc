package io.yuccaswitch.testkit.platform;

import java.util.List;

/**
 * Changes or objects of a kind.
 *
 * @param version The version up to which the list is complete.
 * @param reset Whether changes since the version that was asked for are no longer known.
 * @param revisions The revisions in the order of their versions.
 */
record Changes(long version, boolean reset, List<Revision> revisions) {

    /** Copies the list. */
    Changes {
        revisions = List.copyOf(revisions);
    }
}
