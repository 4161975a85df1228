package org.hibiscususher.core.world;

/**
 * How current the records about hosts are.
 *
 * @param version the store's version up to which they are complete, 0 before the first read
 * @param epoch the epoch known when the newest complete read was sent, -1 if the last read failed
 * @param sentMs when the newest read was sent, -1 if none was
 * @param sentEpoch the epoch known when the newest read was sent
 * @param callId the read that is out, 0 if none
 * @param reconciledRevision the configuration that was last brought together with the records
 * @param maintenanceRunMs when maintenance was last decided, -1 if never
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

    /** Returns whether a read that was sent after a time was answered and none is out. */
    public boolean readSince(long timeMs) {
        return callId == 0 && epoch != UNKNOWN_EPOCH && sentMs > timeMs;
    }

    /** Returns a copy after a read was sent. */
    public FleetSyncRow withReadSent(long nowMs, long atEpoch, long call) {
        return new FleetSyncRow(
                version, epoch, nowMs, atEpoch, call, reconciledRevision, maintenanceRunMs);
    }

    /** Returns a copy after the read that is out was answered. */
    public FleetSyncRow withReadAnswered(long upToVersion) {
        return new FleetSyncRow(
                upToVersion, sentEpoch, sentMs, sentEpoch, 0, reconciledRevision, maintenanceRunMs);
    }

    /** Returns a copy after the read that is out failed. */
    public FleetSyncRow withReadFailed() {
        return new FleetSyncRow(
                version, UNKNOWN_EPOCH, sentMs, sentEpoch, 0, reconciledRevision, maintenanceRunMs);
    }

    /** Returns a copy after a configuration was brought together with the records. */
    public FleetSyncRow withReconciledRevision(long value) {
        return new FleetSyncRow(version, epoch, sentMs, sentEpoch, callId, value, maintenanceRunMs);
    }

    /** Returns a copy after maintenance was decided. */
    public FleetSyncRow withMaintenanceRun(long nowMs) {
        return new FleetSyncRow(
                version, epoch, sentMs, sentEpoch, callId, reconciledRevision, nowMs);
    }
}
