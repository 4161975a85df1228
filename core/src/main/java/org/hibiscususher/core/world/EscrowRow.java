package org.hibiscususher.core.world;

/**
 * What the escrow has taken in so far.
 *
 * @param epoch the epoch
 * @param revision the revision
 * @param hostsVersion the version of the hosts' table
 * @param longestRunMs the longest run limit ever known, in milliseconds
 */
public record EscrowRow(long epoch, long revision, long hostsVersion, int longestRunMs) {
    /** The row before anything was taken in. */
    public static final EscrowRow NONE = new EscrowRow(-1, -1, -1, 0);

    /** Returns a copy that has taken in no epoch. */
    public EscrowRow withdrawn() {
        return new EscrowRow(-1, revision, hostsVersion, longestRunMs);
    }
}
