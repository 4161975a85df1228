package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

/**
 * Names a record in the store.
 *
 * @param kind kind of record
 * @param id id among the records of the kind; empty if the kind has one record only
 */
public record RecordName(RecordKind kind, String id) {
    /** The owner's record. */
    public static final RecordName OWNER = new RecordName(RecordKind.OWNER, "");

    /** The record of the newest term. */
    public static final RecordName TERM = new RecordName(RecordKind.TERM, "");

    /** The record of the executors in use. */
    public static final RecordName EXECUTORS = new RecordName(RecordKind.EXECUTORS, "");

    /** The record of the hosts with orders. */
    public static final RecordName HOST_ORDERS = new RecordName(RecordKind.HOST_ORDERS, "");

    /** The record of learned run times. */
    public static final RecordName RUN_TIMES = new RecordName(RecordKind.RUN_TIMES, "");

    /** Rejects null components. */
    public RecordName {
        requireNonNull(kind);
        requireNonNull(id);
    }

    /** Returns the name of the record of a kind with the given id. */
    public static RecordName of(RecordKind kind, String id) {
        return new RecordName(kind, id);
    }
}
