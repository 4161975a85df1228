package org.hibiscususher.core.table;

import static java.util.Objects.requireNonNull;

/**
 * Holds exactly one immutable row.
 *
 * <p>Not thread-safe: it belongs to the control thread.
 *
 * @param <R> the type of the row
 */
public final class Single<R> {
    private R mRow;

    private Single(R row) {
        mRow = requireNonNull(row);
    }

    /** Creates a holder of the given row. */
    public static <R> Single<R> of(R row) {
        return new Single<>(row);
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
