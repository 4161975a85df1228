package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The state of an entry, for operators.
 *
 * @param member its member id
 * @param stage its stage, in lower case
 * @param epoch newest membership epoch known to it
 * @param revision revision in force on it
 * @param newestRevision newest revision that it knows to be written
 * @param storeAgeMs milliseconds since its last contact with the store, -1 if never
 * @param freshAgeMs milliseconds since the time as of which its configuration is proven current, -1
 *     if there is no proof
 * @param takesWork whether it admits requests
 * @param waiting number of its waiting requests
 * @param running number of its running requests
 * @param peers the other members as known to it
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
    /** Makes a defensive copy of the list. */
    public StatusReport {
        requireNonNull(member);
        requireNonNull(stage);
        peers = List.copyOf(peers);
    }

    /**
     * Another member as known to an entry.
     *
     * @param member its member id
     * @param state its state in the membership record
     * @param zone its availability zone
     * @param revision revision that it is known to have in force
     * @param silentMs milliseconds since it was last heard, -1 if never
     * @param storeAgeMs milliseconds since its last contact with the store by its own reports, -1
     *     if never
     */
    public record Peer(
            String member,
            MemberState state,
            String zone,
            long revision,
            long silentMs,
            long storeAgeMs) {
        /** Rejects null components. */
        public Peer {
            requireNonNull(member);
            requireNonNull(state);
            requireNonNull(zone);
        }
    }
}
