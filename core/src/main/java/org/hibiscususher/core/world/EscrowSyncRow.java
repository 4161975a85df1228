package org.hibiscususher.core.world;

/**
 * What the escrow has taken in so far.
 *
 * @param epoch the epoch
 * @param revision the revision
 * @param hostsVersion the version of the hosts' table
 * @param longestRunMs the longest run limit ever known, in milliseconds
 */
public record EscrowSyncRow(long epoch, long revision, long hostsVersion, int longestRunMs) {
    /** The row before anything was taken in. */
    public static final EscrowSyncRow NONE = new EscrowSyncRow(-1, -1, -1, 0);

    /** Returns a copy that has taken in no epoch. */
    public EscrowSyncRow withoutEpoch() {
        return new EscrowSyncRow(-1, revision, hostsVersion, longestRunMs);
    }
}
