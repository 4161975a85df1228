package org.hibiscususher.standin.virtual;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
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

/** The platform's store in virtual time, with faults and counts of calls. */
public final class VirtualStore {
    private static final int LATENCY_MS = 2;
    private static final int TIMEOUT_MS = 2_000;

    private final VirtualClock mClock;
    private final Map<RecordKey, VersionedRecord> mRecords = new LinkedHashMap<>();
    private final Map<String, Consumer<Input>> mWatchers = new LinkedHashMap<>();
    private final Set<String> mCutOff = new HashSet<>();
    private StoreFault mFault = StoreFault.NONE;
    private boolean mWatchesFrozen;
    private long mVersion;
    private long mReads;
    private long mWrites;

    VirtualStore(VirtualClock clock) {
        mClock = clock;
    }

    /** Sets how the store misbehaves from now on. */
    public void setFault(StoreFault fault) {
        mFault = fault;
    }

    /** Sets whether watches show nothing, whatever the fault. */
    public void setWatchesFrozen(boolean frozen) {
        mWatchesFrozen = frozen;
    }

    /** Sets whether an entry can reach the store. */
    public void setReachable(String entry, boolean reachable) {
        if (reachable) {
            mCutOff.remove(entry);
        } else {
            mCutOff.add(entry);
        }
    }

    /** Returns the record under a key, or empty. */
    public Optional<VersionedRecord> find(RecordKey key) {
        return Optional.ofNullable(mRecords.get(key));
    }

    /** Returns how many reads have been made. */
    public long reads() {
        return mReads;
    }

    /** Returns how many writes have been tried. */
    public long writes() {
        return mWrites;
    }

    /** Gives an entry every record that is watched, and each later change. */
    void watch(String entry, Consumer<Input> receiver) {
        mWatchers.put(entry, receiver);
        mRecords.forEach((k, r) -> notifyWatcher(entry, receiver, k, r));
    }

    void unwatch(String entry) {
        mWatchers.remove(entry);
    }

    void read(String entry, ReadRecord read, Consumer<Input> receiver) {
        mReads++;
        Input failed = new StoreFailed(read.callId());
        callStore(
                entry,
                () -> new RecordRead(read.callId(), read.key(), find(read.key())),
                failed,
                receiver);
    }

    void readFleet(String entry, ReadFleetRecords read, Consumer<Input> receiver) {
        mReads++;
        Input failed = new StoreFailed(read.callId());
        callStore(entry, () -> fleetChanges(read), failed, receiver);
    }

    private Input fleetChanges(ReadFleetRecords read) {
        List<FleetRecord> found = new ArrayList<>();
        mRecords.forEach(
                (key, record) -> {
                    if (key.kind().isFleet() && record.version() > read.sinceVersion()) {
                        found.add(new FleetRecord(key, record));
                    }
                });
        return new FleetRecordsRead(read.callId(), mVersion, found);
    }

    void swap(String entry, SwapRecord swap, Consumer<Input> receiver) {
        mWrites++;
        Input failed = new RecordSwapped(swap.callId(), swap.key(), SwapResult.UNKNOWN);
        callStore(entry, () -> apply(swap), failed, receiver);
    }

    private void callStore(
            String entry,
            java.util.function.Supplier<Input> call,
            Input failed,
            Consumer<Input> receiver) {
        mClock.after(
                LATENCY_MS,
                () -> {
                    boolean acts = mFault.appliesCalls() && !mCutOff.contains(entry);
                    Input answer = acts ? call.get() : failed;
                    boolean answers = acts && mFault.sendsResponses();
                    int delayMs = answers ? LATENCY_MS + mFault.delayMs() : TIMEOUT_MS;
                    mClock.after(delayMs, () -> receiver.accept(answers ? answer : failed));
                });
    }

    private Input apply(SwapRecord swap) {
        long current = find(swap.key()).map(VersionedRecord::version).orElse(0L);
        if (current != swap.expectedVersion()) {
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
        if (mFault.notifiesWatches() && !mWatchesFrozen && !mCutOff.contains(entry)) {
            mClock.after(
                    LATENCY_MS + mFault.delayMs(),
                    () -> receiver.accept(new RecordWatched(key, record)));
        }
    }
}
