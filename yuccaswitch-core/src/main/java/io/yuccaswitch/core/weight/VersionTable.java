package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.TrainerName;
import java.util.Collection;
import java.util.Optional;

/** The newest version of each trainer, merged from updates in any order such that it never becomes older. */
public final class VersionTable implements VersionView {

    /** The newest version of each trainer. */
    private final EntityTable<TrainerName, PublishedVersion> rows = new EntityTable<>();

    /**
     * Merges a version into this table.
     *
     * @param update The version.
     * @return {@code true} if the version replaces the previous one.
     */
    public boolean merge(PublishedVersion update) {
        Optional<PublishedVersion> current = rows.find(update.trainer());
        if (current.isPresent() && !update.isNewerThan(current.get())) {
            return false;
        }
        rows.put(update.trainer(), update);
        return true;
    }

    /** {@inheritDoc} */
    @Override
    public Optional<PublishedVersion> newest(TrainerName trainer) {
        return rows.find(trainer);
    }

    /**
     * Returns the newest version of all trainers.
     *
     * @return A live view of the rows.
     */
    public Collection<PublishedVersion> view() {
        return rows.view();
    }
}
