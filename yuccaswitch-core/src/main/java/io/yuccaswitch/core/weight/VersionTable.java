package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.TrainerName;
import java.util.Collection;
import java.util.Optional;

/** The newest version of each trainer, joined from any news such that it never becomes older. */
public final class VersionTable implements VersionView {

    /** The newest version of each trainer. */
    private final EntityTable<TrainerName, PublishedVersion> rows = new EntityTable<>();

    /**
     * Takes in news of a version.
     *
     * @param news The version.
     * @return {@code true} if the version takes precedence over what was known.
     */
    public boolean join(PublishedVersion news) {
        Optional<PublishedVersion> known = rows.find(news.trainer());
        if (known.isPresent() && !news.isNewerThan(known.get())) {
            return false;
        }
        rows.put(news.trainer(), news);
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
