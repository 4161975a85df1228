package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * How an entry is, for operators.
 *
 * @param member its member id
 * @param stage the stage of its life
 * @param epoch newest epoch that it knows
 * @param revision revision that it has in force
 * @param newestRevision newest revision that it knows to be written
 * @param storeAgeMs milliseconds since its last contact with the store, -1 if none ever
 * @param freshAgeMs for how long its configuration is known to be current, in milliseconds, -1 if
 *     that isn't known
 * @param takesWork whether it admits requests
 * @param waiting requests waiting here
 * @param running requests running from here
 * @param peers the other members as it sees them
 */
public record StatusReport(
        String member,
        String stage,
        long epoch,
        long revision,
        long newestRevision,
        long storeAgeMs,
        long freshAgeMs,
        boolean takesWork,
        int waiting,
        int running,
        List<Peer> peers) {
    /** Copies the list. */
    public StatusReport {
        requireNonNull(member);
        requireNonNull(stage);
        peers = List.copyOf(peers);
    }

    /**
     * Another member as an entry sees it.
     *
     * @param member its member id
     * @param state what the membership record says of it
     * @param zone its availability zone
     * @param revision revision that it is known to have in force
     * @param silentMs milliseconds since it was last heard, -1 if never
     * @param storeAgeMs milliseconds since its last contact with the store, as far as it has told,
     *     -1 if none ever
     */
    public record Peer(
            String member,
            MemberState state,
            String zone,
            long revision,
            long silentMs,
            long storeAgeMs) {
        /** Checks the fields. */
        public Peer {
            requireNonNull(member);
            requireNonNull(state);
            requireNonNull(zone);
        }
    }
}
