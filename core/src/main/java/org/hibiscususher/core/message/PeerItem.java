package org.hibiscususher.core.message;

import java.util.List;
import org.hibiscususher.core.note.AcceptedNote;

/** One thing that an entry tells another. */
public sealed interface PeerItem {
    /**
     * Relays accepted notes that the receiver is known to lack.
     *
     * @param notes notes of consecutive revisions, in order, each with its delta
     */
    record Relay(List<AcceptedNote> notes) implements PeerItem {
        /** Copies the list. */
        public Relay {
            notes = List.copyOf(notes);
        }
    }

    /**
     * Tells the permits' allocator how many of its grants have come back in all.
     *
     * @param epoch the epoch of the grants
     * @param permit the permits
     * @param returned count since the epoch began; only grows
     */
    record Returned(long epoch, PermitKey permit, long returned) implements PeerItem {}

    /**
     * Tells an entry how many permits it has been granted in all.
     *
     * @param epoch the epoch of the grants
     * @param permit the permits
     * @param granted count since the epoch began; only grows
     * @param target how many the entry shall keep; it returns idle ones above that
     */
    record Granted(long epoch, PermitKey permit, long granted, int target) implements PeerItem {}

    /**
     * Tells the allocator of a pool how much work of a team and kind an entry has at hand.
     *
     * @param epoch the epoch
     * @param pool the pool
     * @param team the team
     * @param kind the kind of queue
     * @param waiting requests waiting
     * @param running requests running
     */
    record Demand(
            long epoch,
            String pool,
            String team,
            org.hibiscususher.core.config.QueueKind kind,
            int waiting,
            int running)
            implements PeerItem {}

    /**
     * Tells an entry how much work of a team is running in the whole pool.
     *
     * @param epoch the epoch
     * @param pool the pool
     * @param team the team
     * @param running requests running
     */
    record PoolLoad(long epoch, String pool, String team, int running) implements PeerItem {}
}
