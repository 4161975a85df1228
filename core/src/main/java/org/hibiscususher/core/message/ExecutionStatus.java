package org.hibiscususher.core.message;

/** Whether refused work may have run. */
public enum ExecutionStatus {
    /** No target has taken the work, and none will. */
    NOT_RUN,
    /** A target may have run the work. */
    MAY_HAVE_RUN;

    /** Returns the machine-readable statement, as {@code not-run}. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
