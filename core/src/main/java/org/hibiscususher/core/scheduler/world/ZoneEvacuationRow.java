package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.Resources;

/**
 * An availability zone that operators have evacuated. Kept for a moment after the withdrawal.
 *
 * @param zone name of the zone
 * @param stage whether the evacuation is in force
 * @param sinceMs since when it has been in this stage, in milliseconds of the steady clock
 * @param movesDecidedMs when moves of its runs were last decided on, in milliseconds of the steady
 *     clock; 0 for not yet
 */
public record ZoneEvacuationRow(String zone, ZoneStage stage, long sinceMs, long movesDecidedMs) {
    /** Time in which runs start gradually after a withdrawal, in milliseconds. */
    public static final long RESTORE_MS = 1_000;

    /** Rejects null components. */
    public ZoneEvacuationRow {
        requireNonNull(zone);
        requireNonNull(stage);
    }

    /** Returns a zone whose evacuation was requested now. */
    public static ZoneEvacuationRow requested(String zone, long nowMs) {
        return new ZoneEvacuationRow(zone, ZoneStage.EVACUATED, nowMs, 0);
    }

    /** Returns this zone after its evacuation was withdrawn. */
    public ZoneEvacuationRow asRestoring(long nowMs) {
        return new ZoneEvacuationRow(zone, ZoneStage.RESTORING, nowMs, movesDecidedMs);
    }

    /** Returns this zone after a decision on moves of its runs. */
    public ZoneEvacuationRow withMovesDecided(long nowMs) {
        return new ZoneEvacuationRow(zone, stage, sinceMs, nowMs);
    }

    /** Returns whether the evacuation is in force. */
    public boolean isEvacuated() {
        return stage == ZoneStage.EVACUATED;
    }

    /** Returns whether the zone is like any other again. */
    public boolean isRestoreOver(long nowMs) {
        return stage == ZoneStage.RESTORING && nowMs - sinceMs >= RESTORE_MS;
    }

    /** Returns what the runs that start on an executor within one interval may reserve. */
    public Resources startLimit(Resources capacity) {
        return stage.startLimit(capacity);
    }
}
