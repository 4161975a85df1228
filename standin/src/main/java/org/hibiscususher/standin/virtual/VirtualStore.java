package org.hibiscususher.standin.virtual;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Input.FleetRecordsRead;
import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.RecordWatched;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.Output.ReadFleetRecords;
import org.hibiscususher.core.message.Output.ReadRecord;
import org.hibiscususher.core.message.Output.SwapRecord;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.SwapResult;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.standin.store.StoreFault;

/** Simulated store of the platform, with faults and with counts of reads and writes. */
public final class VirtualStore {
    private static final int LATENCY_MS = 2;

    /** Time after which the caller of the store stops waiting for a response. */
    private static final int TIMEOUT_MS = 2_000;

    private final VirtualClock mClock;
    private final Map<RecordKey, VersionedRecord> mRecords = new LinkedHashMap<>();
    private final Map<String, Consumer<Input>> mWatchers = new LinkedHashMap<>();
    private final Set<String> mUnreachableFrom = new HashSet<>();
    private StoreFault mFault = StoreFault.NONE;
    private boolean mWatchesFrozen;
    private long mVersion;
    private long mReadCount;
    private long mWriteCount;

    VirtualStore(VirtualClock clock) {
        mClock = clock;
    }

    /** Sets the fault of the store from now on. */
    public void setFault(StoreFault fault) {
        mFault = fault;
    }

    /** Sets whether watches get no events, in addition to the effect of the fault. */
    public void setWatchesFrozen(boolean frozen) {
        mWatchesFrozen = frozen;
    }

    /** Sets whether an entry can reach the store. */
    public void setReachable(String entry, boolean reachable) {
        if (reachable) {
            mUnreachableFrom.remove(entry);
        } else {
            mUnreachableFrom.add(entry);
        }
    }

    /** Returns the record stored under a key, or empty. */
    public Optional<VersionedRecord> find(RecordKey key) {
        return Optional.ofNullable(mRecords.get(key));
    }

    /** Returns the number of reads requested, failed ones included. */
    public long reads() {
        return mReadCount;
    }

    /** Returns the number of writes requested, failed ones included. */
    public long writes() {
        return mWriteCount;
    }

    /**
     * Opens an entry's watch, which gets the current records and each later change. Records of the
     * fleet are not watched but read.
     */
    void watch(String entry, Consumer<Input> receiver) {
        mWatchers.put(entry, receiver);
        mRecords.forEach((key, record) -> notifyWatcher(entry, receiver, key, record));
    }

    void unwatch(String entry) {
        mWatchers.remove(entry);
    }

    void read(String entry, ReadRecord read, Consumer<Input> receiver) {
        mReadCount++;
        Input failed = new StoreFailed(read.callId());
        callStore(
                entry,
                () -> new RecordRead(read.callId(), read.key(), find(read.key())),
                failed,
                receiver);
    }

    void readFleet(String entry, ReadFleetRecords read, Consumer<Input> receiver) {
        mReadCount++;
        Input failed = new StoreFailed(read.callId());
        callStore(entry, () -> fleetChanges(read), failed, receiver);
    }

    /** Returns the records of the fleet that changed after the version that the reader has. */
    private Input fleetChanges(ReadFleetRecords read) {
        List<FleetRecord> changed = new ArrayList<>();
        mRecords.forEach(
                (key, record) -> {
                    if (key.kind().isFleet() && record.version() > read.sinceVersion()) {
                        changed.add(new FleetRecord(key, record));
                    }
                });
        return new FleetRecordsRead(read.callId(), mVersion, changed);
    }

    void swap(String entry, SwapRecord swap, Consumer<Input> receiver) {
        mWriteCount++;
        Input failed = new RecordSwapped(swap.callId(), swap.key(), SwapResult.UNKNOWN);
        callStore(entry, () -> apply(swap), failed, receiver);
    }

    /**
     * Simulates a call of the store.
     *
     * @param call applies the call and returns the response
     * @param failed input that the caller gets if the store is unreachable or its response is lost
     */
    private void callStore(
            String entry, Supplier<Input> call, Input failed, Consumer<Input> receiver) {
        mClock.after(
                LATENCY_MS,
                () -> {
                    boolean applies = mFault.appliesCalls() && !mUnreachableFrom.contains(entry);
                    Input response = applies ? call.get() : failed;
                    boolean responds = applies && mFault.sendsResponses();
                    int delayMs = responds ? LATENCY_MS + mFault.delayMs() : TIMEOUT_MS;
                    mClock.after(delayMs, () -> receiver.accept(responds ? response : failed));
                });
    }

    /** Writes a record if it has the expected version, and notifies all watches. */
    private Input apply(SwapRecord swap) {
        long currentVersion = find(swap.key()).map(VersionedRecord::version).orElse(0L);
        if (currentVersion != swap.expectedVersion()) {
            return new RecordSwapped(swap.callId(), swap.key(), SwapResult.CONFLICT);
        }
        VersionedRecord written = new VersionedRecord(++mVersion, swap.value());
        mRecords.put(swap.key(), written);
        List<Map.Entry<String, Consumer<Input>>> watchers = new ArrayList<>(mWatchers.entrySet());
        watchers.forEach(w -> notifyWatcher(w.getKey(), w.getValue(), swap.key(), written));
        return new RecordSwapped(swap.callId(), swap.key(), SwapResult.SWAPPED);
    }

    private void notifyWatcher(
            String entry, Consumer<Input> receiver, RecordKey key, VersionedRecord record) {
        if (key.kind().isFleet()) {
            return;
        }
        if (mFault.notifiesWatches() && !mWatchesFrozen && !mUnreachableFrom.contains(entry)) {
            mClock.after(
                    LATENCY_MS + mFault.delayMs(),
                    () -> receiver.accept(new RecordWatched(key, record)));
        }
    }
}
