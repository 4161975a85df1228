package org.hibiscususher.core.world;

/**
 * The versions of the inputs that the escrow has applied, so that a tick without a change of these
 * skips the update.
 *
 * @param epoch applied membership epoch, -1 if none
 * @param revision applied revision of the configuration, -1 if none
 * @param hostsVersion applied version of the table of hosts, -1 if none
 * @param longestRunMs the longest run of any queue known so far, in milliseconds; never decreases,
 *     since requests that started under an earlier configuration may still run
 */
public record EscrowSyncRow(long epoch, long revision, long hostsVersion, int longestRunMs) {
    /** The row before anything was applied. */
    public static final EscrowSyncRow NONE = new EscrowSyncRow(-1, -1, -1, 0);

    /**
     * Returns a copy with no applied epoch, so that the next membership record is applied even if
     * its epoch is the same.
     */
    public EscrowSyncRow withoutEpoch() {
        return new EscrowSyncRow(-1, revision, hostsVersion, longestRunMs);
    }
}
