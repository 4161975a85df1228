package org.hibiscususher.core.message;

/** The kinds of records that the system keeps in the platform's store. */
public enum RecordKind {
    /** The head of the configuration's history. */
    HEAD,
    /** The members and their epoch. */
    MEMBERSHIP,
    /** A whole configuration; written once. */
    SNAPSHOT,
    /** Notes that the head lists no more; written once. */
    HISTORY,
    /** Where an older note stands, by the note's id; written once. */
    NOTE
}
