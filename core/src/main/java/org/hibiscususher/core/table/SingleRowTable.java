package org.hibiscususher.core.table;

import static java.util.Objects.requireNonNull;

/**
 * Holds exactly one immutable row.
 *
 * <p>The row is replaced, never changed. Not thread-safe: a table belongs to the control thread.
 *
 * @param <R> the type of the row
 */
public final class SingleRowTable<R> {
    private R mRow;

    private SingleRowTable(R row) {
        mRow = requireNonNull(row);
    }

    /** Creates a table that holds the given row. */
    public static <R> SingleRowTable<R> of(R row) {
        return new SingleRowTable<>(row);
    }

    /** Returns the row. */
    public R get() {
        return mRow;
    }

    /** Replaces the row. */
    public void set(R row) {
        mRow = requireNonNull(row);
    }
}
