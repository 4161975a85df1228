package org.hibiscususher.core.message;

/**
 * Whether a target may have run a request that was refused, so that its caller knows whether
 * sending it again can run it twice.
 */
public enum ExecutionStatus {
    /** No target has run the request, and none will. */
    NOT_RUN,
    /** A target may have run the request. */
    MAY_HAVE_RUN;

    /** Returns the value of the response header, such as {@code not-run}. */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
