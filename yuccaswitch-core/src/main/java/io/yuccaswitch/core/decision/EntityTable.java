package io.yuccaswitch.core.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * A table of entities. Rows are immutable values, are replaced rather than modified, and keep their insertion order.
 *
 * @param <K> The type of the rows' keys.
 * @param <R> The type of the rows.
 */
public final class EntityTable<K, R> {

    /** The rows by their keys, in the order of their insertion. */
    private final Map<K, R> rows = new LinkedHashMap<>();

    /**
     * Finds a row.
     *
     * @param key The row's key.
     * @return The row, or empty if there is none.
     */
    public Optional<R> find(K key) {
        return Optional.ofNullable(rows.get(key));
    }

    /**
     * Adds or replaces a row.
     *
     * @param key The row's key.
     * @param row The row.
     */
    public void put(K key, R row) {
        rows.put(key, row);
    }

    /**
     * Replaces a row if it exists.
     *
     * @param key The row's key.
     * @param change The function that computes the new row from the existing one.
     * @return The new row, or empty if the row does not exist.
     */
    public Optional<R> update(K key, UnaryOperator<R> change) {
        return Optional.ofNullable(rows.computeIfPresent(key, (_key, row) -> change.apply(row)));
    }

    /**
     * Removes a row.
     *
     * @param key The row's key.
     * @return The row that was removed, or empty if there was none.
     */
    public Optional<R> remove(K key) {
        return Optional.ofNullable(rows.remove(key));
    }

    /**
     * Removes all matching rows.
     *
     * @param predicate The predicate that selects the rows to remove.
     * @return {@code true} if any row was removed.
     */
    public boolean removeIf(Predicate<? super R> predicate) {
        return rows.values().removeIf(predicate);
    }

    /**
     * Returns whether a row exists.
     *
     * @param key The row's key.
     * @return {@code true} if the row exists.
     */
    public boolean contains(K key) {
        return rows.containsKey(key);
    }

    /**
     * Returns a copy of all rows, in the order of their insertion, that stays valid while rows are changed.
     *
     * @return A copy of all rows.
     */
    public List<R> rows() {
        return List.copyOf(rows.values());
    }

    /**
     * Returns a live, unmodifiable view of all rows.
     *
     * @return A view of all rows.
     */
    public Collection<R> view() {
        return java.util.Collections.unmodifiableCollection(rows.values());
    }

    /**
     * Returns the number of rows.
     *
     * @return The number of rows.
     */
    public int size() {
        return rows.size();
    }
}
