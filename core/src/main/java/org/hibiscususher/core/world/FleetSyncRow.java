package org.hibiscususher.core.world;

/**
 * How current the known records about hosts are, and which of their consequences have been applied.
 *
 * @param version store version up to which all changes are known, 0 before the first read
 * @param epoch membership epoch known when the newest complete read was sent, -1 if the last read
 *     failed
 * @param sentMs when the newest read was sent, in milliseconds, -1 if none was
 * @param sentEpoch membership epoch known when the newest read was sent
 * @param callId id of the pending read, 0 if none
 * @param reconciledRevision revision of the configuration that was last applied to the hosts
 * @param maintenanceRunMs when the maintenance systems last ran, in milliseconds, -1 if never
 */
public record FleetSyncRow(
        long version,
        long epoch,
        long sentMs,
        long sentEpoch,
        long callId,
        long reconciledRevision,
        long maintenanceRunMs) {
    private static final long UNKNOWN_EPOCH = -1;

    /** The row before the first read. */
    public static final FleetSyncRow NEVER = new FleetSyncRow(0, 0, -1, 0, 0, 0, -1);

    /** Returns whether the newest read was sent after the given time and has succeeded. */
    public boolean readSince(long timeMs) {
        return callId == 0 && epoch != UNKNOWN_EPOCH && sentMs > timeMs;
    }

    /** Returns a copy after a read was sent. */
    public FleetSyncRow withReadSent(long nowMs, long atEpoch, long call) {
        return new FleetSyncRow(
                version, epoch, nowMs, atEpoch, call, reconciledRevision, maintenanceRunMs);
    }

    /** Returns a copy after the pending read has returned all changes up to a store version. */
    public FleetSyncRow withReadAnswered(long upToVersion) {
        return new FleetSyncRow(
                upToVersion, sentEpoch, sentMs, sentEpoch, 0, reconciledRevision, maintenanceRunMs);
    }

    /** Returns a copy after the pending read has failed. */
    public FleetSyncRow withReadFailed() {
        return new FleetSyncRow(
                version, UNKNOWN_EPOCH, sentMs, sentEpoch, 0, reconciledRevision, maintenanceRunMs);
    }

    /** Returns a copy after a revision of the configuration was applied to the hosts. */
    public FleetSyncRow withReconciledRevision(long value) {
        return new FleetSyncRow(version, epoch, sentMs, sentEpoch, callId, value, maintenanceRunMs);
    }

    /** Returns a copy after the maintenance systems have run. */
    public FleetSyncRow withMaintenanceRun(long nowMs) {
        return new FleetSyncRow(
                version, epoch, sentMs, sentEpoch, callId, reconciledRevision, nowMs);
    }
}
