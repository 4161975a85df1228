package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

/**
 * Names a record in the store.
 *
 * @param kind kind
 * @param id id among the records of the kind; empty if there is only one
 */
public record RecordName(RecordKind kind, String id) {
    /** The record of the owner. */
    public static final RecordName OWNER = new RecordName(RecordKind.OWNER, "");

    /** The record of the term. */
    public static final RecordName TERM = new RecordName(RecordKind.TERM, "");

    /** The record of the executors in use. */
    public static final RecordName EXECUTORS = new RecordName(RecordKind.EXECUTORS, "");

    /** The record of the hosts with orders. */
    public static final RecordName HOST_ORDERS = new RecordName(RecordKind.HOST_ORDERS, "");

    /** Checks the parts. */
    public RecordName {
        requireNonNull(kind);
        requireNonNull(id);
    }

    /** Returns the name of a record. */
    public static RecordName of(RecordKind kind, String id) {
        return new RecordName(kind, id);
    }
}
