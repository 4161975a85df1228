package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.hibiscususher.core.message.Input.WaveCommandReceived;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;

/**
 * An operator's command about the maintenance wave that waits for the store.
 *
 * @param command the command
 * @param newRecord the wave's record that is being written; empty until the present one was read
 * @param sinceMs when the command arrived, in milliseconds of the tick clock
 */
public record PendingWaveRow(
        WaveCommandReceived command, Optional<WaveRecord> newRecord, long sinceMs) {
    /** Rejects null components. */
    public PendingWaveRow {
        requireNonNull(command);
        requireNonNull(newRecord);
    }
}
