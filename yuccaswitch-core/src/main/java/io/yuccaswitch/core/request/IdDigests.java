package io.yuccaswitch.core.request;

import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A compact set of ids, backed by Bloom filters. It has no false negatives. The probability of a false positive is
 * about 1e-9 per query and filter; a false positive makes the outcome of a request unknown, but never lets a request
 * run twice.
 */
final class IdDigests {

    /** The capacity of one filter, in ids. */
    static final int FILTER_CAPACITY = 16384;

    /** The probability of a false positive of a full filter. */
    private static final double FALSE_POSITIVE_PROBABILITY = 1e-9;

    /** The filters, of which the last one receives new ids. */
    private final List<BloomFilter<Long>> filters = new ArrayList<>();

    /** The number of ids. */
    private int size;

    /**
     * Adds an id.
     *
     * @param id The id.
     */
    void add(RequestId id) {
        if (size % FILTER_CAPACITY == 0) {
            filters.add(BloomFilter.create(Funnels.longFunnel(), FILTER_CAPACITY, FALSE_POSITIVE_PROBABILITY));
        }
        filters.get(filters.size() - 1).put(digest(id));
        size++;
    }

    /**
     * Returns whether an id may have been added.
     *
     * @param id The id.
     * @return {@code false} if the id was definitely not added.
     */
    boolean mayContain(RequestId id) {
        long digest = digest(id);
        return filters.stream().anyMatch(filter -> filter.mightContain(digest));
    }

    /**
     * Returns the number of ids.
     *
     * @return The number of ids.
     */
    int size() {
        return size;
    }

    /**
     * Computes the digest of an id.
     *
     * @param id The id.
     * @return The digest.
     */
    private static long digest(RequestId id) {
        return Hashing.farmHashFingerprint64()
                .hashString(id.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
