package org.hibiscususher.core.table;

import static java.util.Objects.requireNonNull;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * Holds immutable rows by id, in insertion order.
 *
 * <p>A row is replaced, never changed. A replaced row keeps its place in the order. Look-up and
 * replacement take constant time. Not thread-safe: a table belongs to the control thread.
 *
 * @param <K> the type of the ids; neither ids nor rows may be null
 * @param <R> the type of the rows
 */
public class Table<K, R> {
    private final Map<K, R> mRows = new LinkedHashMap<>();
    private List<R> mSnapshot = List.of();
    private boolean mSnapshotStale;
    private long mVersion;

    Table() {}

    /** Creates an empty table. */
    public static <K, R> Table<K, R> create() {
        return new Table<>();
    }

    /** Returns the row with the given id, or empty. */
    public Optional<R> find(K id) {
        return Optional.ofNullable(mRows.get(requireNonNull(id)));
    }

    /** Returns whether a row with the given id exists. */
    public boolean contains(K id) {
        return mRows.containsKey(requireNonNull(id));
    }

    /** Stores a row under the given id, in place of any earlier one. */
    public void put(K id, R row) {
        requireNonNull(row);
        R before = mRows.put(requireNonNull(id), row);
        if (row != before) {
            changed(id, before, row);
        }
    }

    /** Replaces the row with the given id by the result of the operator; does nothing if none. */
    public void update(K id, UnaryOperator<R> operator) {
        R row = mRows.get(requireNonNull(id));
        if (row != null) {
            put(id, operator.apply(row));
        }
    }

    /** Removes the row with the given id, and returns it, or empty if there was none. */
    public Optional<R> remove(K id) {
        Optional<R> row = Optional.ofNullable(mRows.remove(requireNonNull(id)));
        if (row.isPresent()) {
            changed(id, row.get(), null);
        }
        return row;
    }

    /** Removes all rows that match the predicate, and returns how many were removed. */
    public int removeIf(Predicate<R> predicate) {
        int before = mRows.size();
        Iterator<Map.Entry<K, R>> entries = mRows.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<K, R> entry = entries.next();
            if (predicate.test(entry.getValue())) {
                entries.remove();
                changed(entry.getKey(), entry.getValue(), null);
            }
        }
        return before - mRows.size();
    }

    /**
     * Removes all rows whose id and row match the predicate, and returns how many were removed.
     *
     * <p>Unlike the other changes, this one neither calls {@link #onChange} nor advances the {@link
     * #version}. It must not be used on a grouped table.
     */
    public int removeIf(BiPredicate<K, R> predicate) {
        int n = mRows.size();
        mRows.entrySet().removeIf(e -> predicate.test(e.getKey(), e.getValue()));
        n -= mRows.size();
        if (n > 0) {
            mSnapshotStale = true;
        }
        return n;
    }

    /**
     * Returns an immutable snapshot of the rows, in insertion order of their ids.
     *
     * <p>Takes constant time when no row has changed since the last call, else linear time. The
     * table may be changed while the snapshot is iterated.
     */
    public List<R> rows() {
        if (mSnapshotStale) {
            mSnapshot = List.copyOf(mRows.values());
            mSnapshotStale = false;
        }
        return mSnapshot;
    }

    /** Returns the number of rows. */
    public int size() {
        return mRows.size();
    }

    /** Removes all rows. */
    public void clear() {
        removeIf(row -> true);
    }

    /** Returns a number that grows with each row that is added, replaced or removed. */
    public long version() {
        return mVersion;
    }

    private void changed(K id, R before, R after) {
        mSnapshotStale = true;
        mVersion++;
        onChange(id, before, after);
    }

    /** Called after a row was added ({@code before} is null), replaced or removed. */
    void onChange(K id, R before, R after) {}
}
