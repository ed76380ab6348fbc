package io.yuccaswitch.core.membership;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.NodeName;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The table of members. It maintains a hash for each bucket of rows, so that two nodes can find the differences between
 * their tables without sending these. Dead members are excluded from the hashes, since nodes remove them at different
 * times.
 */
final class MemberTable implements MembershipView {

    /** The number of buckets, a power of two. */
    static final int BUCKET_COUNT = 16;

    /** The multiplier that makes the hash of the table depend on the order of its buckets. */
    private static final long HASH_MULTIPLIER = 0x9E37_79B9_7F4A_7C15L;

    /** The rows. */
    private final EntityTable<NodeName, MemberRow> rows = new EntityTable<>();

    /** The hashes of the buckets. */
    private final long[] bucketHashes = new long[BUCKET_COUNT];

    /** This node's name. */
    private final NodeName selfName;

    /** The members that may be given new work, or empty if the table changed since it was computed. */
    private Optional<List<Member>> working = Optional.empty();

    /** The rows of all other members that are not dead, or empty if the table changed since they were collected. */
    private Optional<List<MemberRow>> othersNotDead = Optional.empty();

    /**
     * Creates a table that contains only this node.
     *
     * @param self This node's own row.
     */
    MemberTable(MemberRow self) {
        selfName = self.name();
        put(self);
    }

    /** {@inheritDoc} */
    @Override
    public Member self() {
        return selfRow().member();
    }

    /** {@inheritDoc} */
    @Override
    public Collection<Member> working() {
        if (working.isEmpty()) {
            working = Optional.of(rows.view().stream()
                    .map(MemberRow::member)
                    .filter(Member::acceptsWork)
                    .sorted(Comparator.comparing(Member::identity))
                    .toList());
        }
        return working.get();
    }

    /** {@inheritDoc} */
    @Override
    public Optional<Member> find(NodeName name) {
        return rows.find(name).map(MemberRow::member);
    }

    /**
     * Returns this node's own row.
     *
     * @return This node's own row.
     */
    MemberRow selfRow() {
        return rows.find(selfName).orElseThrow();
    }

    /**
     * Finds the row of a member.
     *
     * @param name The member's name.
     * @return The row, or empty if there is none.
     */
    Optional<MemberRow> row(NodeName name) {
        return rows.find(name);
    }

    /**
     * Returns whether the table contains a member.
     *
     * @param name The member's name.
     * @return {@code true} if the table contains the member, regardless of its condition.
     */
    boolean contains(NodeName name) {
        return rows.contains(name);
    }

    /**
     * Returns all rows, this node's own included.
     *
     * @return A view of all rows.
     */
    Collection<MemberRow> rows() {
        return rows.view();
    }

    /**
     * Returns the rows of all other members that are not dead.
     *
     * @return The rows, which stay as they are when the table changes.
     */
    List<MemberRow> othersNotDead() {
        if (othersNotDead.isEmpty()) {
            othersNotDead = Optional.of(rows.view().stream()
                    .filter(row -> !row.name().equals(selfName) && !row.is(MemberCondition.DEAD))
                    .toList());
        }
        return othersNotDead.get();
    }

    /**
     * Returns the rows of all members that are dead.
     *
     * @return A copy of the rows.
     */
    List<MemberRow> dead() {
        return rows.view().stream().filter(row -> row.is(MemberCondition.DEAD)).toList();
    }

    /**
     * Adds or replaces a row.
     *
     * @param row The row.
     */
    void put(MemberRow row) {
        rows.find(row.name()).ifPresent(this::toggleInHash);
        rows.put(row.name(), row);
        toggleInHash(row);
        working = Optional.empty();
        othersNotDead = Optional.empty();
    }

    /**
     * Removes a row.
     *
     * @param name The member's name.
     */
    void remove(NodeName name) {
        rows.remove(name).ifPresent(this::toggleInHash);
        working = Optional.empty();
        othersNotDead = Optional.empty();
    }

    /**
     * Returns the hash of the table.
     *
     * @return The hash of the table.
     */
    long hash() {
        long hash = 0;
        for (long bucketHash : bucketHashes) {
            hash = hash * HASH_MULTIPLIER + bucketHash;
        }
        return hash;
    }

    /**
     * Returns the hashes of the buckets.
     *
     * @return The hashes of the buckets.
     */
    List<Long> bucketHashes() {
        List<Long> hashes = new ArrayList<>(BUCKET_COUNT);
        for (long bucketHash : bucketHashes) {
            hashes.add(bucketHash);
        }
        return hashes;
    }

    /**
     * Returns the rows in some buckets.
     *
     * @param buckets The buckets, one bit for each.
     * @return The rows.
     */
    List<MemberRow> rowsIn(int buckets) {
        return rows.view().stream()
                .filter(row -> (buckets >>> bucket(row.name()) & 1) == 1)
                .toList();
    }

    /**
     * Computes the bucket of a member.
     *
     * @param name The member's name.
     * @return The bucket.
     */
    private static int bucket(NodeName name) {
        return Hashing.farmHashFingerprint64()
                        .hashString(name.value(), StandardCharsets.UTF_8)
                        .asInt()
                & (BUCKET_COUNT - 1);
    }

    /**
     * Adds a row to the hash of its bucket, or removes it if it was added before. Dead members are ignored.
     *
     * @param row The row.
     */
    private void toggleInHash(MemberRow row) {
        if (!row.is(MemberCondition.DEAD)) {
            bucketHashes[bucket(row.name())] ^= row.fingerprint();
        }
    }
}
