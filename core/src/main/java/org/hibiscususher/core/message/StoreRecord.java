package org.hibiscususher.core.message;

import java.util.List;
import org.hibiscususher.core.config.Configuration;

/** A value that the system keeps in the platform's store. */
public sealed interface StoreRecord {
    /**
     * The configuration in force and the note that made it.
     *
     * @param noteId id of the newest accepted note
     * @param author author of that note
     * @param summary summary of that note
     * @param configuration the whole configuration
     */
    record HeadRecord(String noteId, String author, String summary, Configuration configuration)
            implements StoreRecord {}

    /**
     * The members and their epoch.
     *
     * <p>An id may stand more than once, with different incarnations; all but one are then dead.
     *
     * @param epoch number of the record, from 1; each change adds 1
     * @param members the members by id
     */
    record MembershipRecord(long epoch, List<Member> members) implements StoreRecord {
        /** No members. */
        public static final MembershipRecord EMPTY = new MembershipRecord(0, List.of());

        /** Copies the list. */
        public MembershipRecord {
            members = List.copyOf(members);
        }
    }
}
