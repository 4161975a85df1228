package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.Ownership;
import org.hibiscususher.core.scheduler.message.RecordGuard;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.RecordWrite;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitConflict;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.Committed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LeaseDenied;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LeaseGranted;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LeaseNotRenewed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LeaseRenewed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LoadFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RecordsLoaded;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Commit;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.GrantLease;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.LoadRecords;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.RenewLease;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;

/**
 * Simulated key-value store of the platform: records with revisions, conditional commits, and
 * leases whose expiry removes the records bound to them.
 */
final class VirtualKeyValueStore {
    private static final long USUAL_ROUND_TRIP_MS = 4;

    /** Time after which a delayed commit takes effect; the caller has seen it fail by then. */
    private static final long DELAYED_COMMIT_MS = 2_500;

    /** Time after which the caller of a call without a response sees it fail. */
    private static final long NO_ANSWER_MS = 600;

    private final VirtualClock mClock;
    private final Random mRandom;
    private final Map<RecordName, Item> mItems = new LinkedHashMap<>();

    /** Virtual time of expiry in milliseconds, by lease id. */
    private final Map<Long, Long> mLeaseDeadlinesMs = new HashMap<>();

    private final List<Runnable> mListeners = new ArrayList<>();
    private final Set<String> mCutOffNodes = new HashSet<>();
    private boolean mDown;
    private long mRoundTripMs = USUAL_ROUND_TRIP_MS;
    private double mDroppedResponseShare;
    private boolean mDelaysCommits;
    private long mRevision = 1;
    private long mNextLeaseId = 100;

    VirtualKeyValueStore(VirtualClock clock, Random random) {
        mClock = clock;
        mRandom = random;
    }

    /**
     * A stored record.
     *
     * @param record the record
     * @param revision revision of the store that last changed it
     * @param leaseId lease whose expiry removes it
     */
    private record Item(StoredRecord record, long revision, long leaseId) {}

    /** Adds a listener that runs after each change of the records. */
    void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /** Sets the time from a call to its response; the usual one with 0. */
    void setRoundTrip(long roundTripMs) {
        mRoundTripMs = roundTripMs == 0 ? USUAL_ROUND_TRIP_MS : roundTripMs;
    }

    void setDown(boolean down) {
        mDown = down;
    }

    /**
     * Drops responses to commits, whose callers then don't know the outcome.
     *
     * @param share probability that the response to a commit is dropped, 0 to 1
     * @param delayed whether these commits also take effect only after their callers see them fail
     */
    void dropCommitResponses(double share, boolean delayed) {
        mDroppedResponseShare = share;
        mDelaysCommits = delayed;
    }

    void cutOff(String node, boolean cut) {
        if (cut) {
            mCutOffNodes.add(node);
        } else {
            mCutOffNodes.remove(node);
        }
    }

    /** Returns whether a node can't reach the store. */
    boolean isUnreachable(String node) {
        return mDown || mCutOffNodes.contains(node);
    }

    /**
     * Handles a call of a node.
     *
     * @param output a lease grant or renewal, a commit, or a load
     * @param sink gets the response or the failure
     */
    void call(String node, SchedulerOutput output, Consumer<SchedulerInput> sink) {
        if (isUnreachable(node)) {
            mClock.after(NO_ANSWER_MS, () -> sink.accept(failure(output, false)));
            return;
        }
        boolean dropsResponse =
                output instanceof Commit && mRandom.nextDouble() < mDroppedResponseShare;
        if (dropsResponse) {
            long effectDelayMs = mDelaysCommits ? DELAYED_COMMIT_MS : mRoundTripMs / 2;
            mClock.after(effectDelayMs, () -> execute(output));
            mClock.after(NO_ANSWER_MS, () -> sink.accept(failure(output, true)));
        } else {
            mClock.after(mRoundTripMs / 2, () -> reply(sink, execute(output)));
        }
    }

    private void reply(Consumer<SchedulerInput> sink, SchedulerInput input) {
        mClock.after(mRoundTripMs / 2, () -> sink.accept(input));
    }

    /**
     * Returns the failure that the caller sees.
     *
     * @param uncertain whether a commit may have taken effect
     */
    private static SchedulerInput failure(SchedulerOutput output, boolean uncertain) {
        if (output instanceof GrantLease grant) {
            return new LeaseDenied(grant.callId());
        } else if (output instanceof RenewLease renew) {
            return new LeaseNotRenewed(renew.callId(), false);
        } else if (output instanceof Commit commit) {
            return new CommitFailed(commit.callId(), uncertain, false);
        }
        return new LoadFailed(((LoadRecords) output).callId());
    }

    private SchedulerInput execute(SchedulerOutput output) {
        expireLeases();
        if (output instanceof GrantLease grant) {
            long leaseId = mNextLeaseId++;
            mLeaseDeadlinesMs.put(leaseId, mClock.nowMs() + grant.ttlMs());
            mClock.after(grant.ttlMs() + 1, this::expireLeases);
            return new LeaseGranted(grant.callId(), leaseId, grant.ttlMs());
        } else if (output instanceof RenewLease renew) {
            return renew(renew);
        } else if (output instanceof Commit commit) {
            return commit(commit);
        }
        return load((LoadRecords) output);
    }

    private SchedulerInput renew(RenewLease renew) {
        if (!mLeaseDeadlinesMs.containsKey(renew.leaseId())) {
            return new LeaseNotRenewed(renew.callId(), true);
        }
        long ttlMs = SchedulerTiming.DEFAULT.ownerTtlMs();
        mLeaseDeadlinesMs.put(renew.leaseId(), mClock.nowMs() + ttlMs);
        mClock.after(ttlMs + 1, this::expireLeases);
        return new LeaseRenewed(renew.callId());
    }

    /** Applies all writes and removals if each guarded record has the expected revision. */
    private SchedulerInput commit(Commit commit) {
        List<LoadedRecord> current = new ArrayList<>();
        boolean guardsHold = true;
        for (RecordGuard guard : commit.guards()) {
            LoadedRecord loaded = loaded(guard.name());
            current.add(loaded);
            guardsHold &= loaded.revision() == guard.revision();
        }
        if (!guardsHold) {
            return new CommitConflict(commit.callId(), current);
        }
        mRevision++;
        for (RecordWrite write : commit.writes()) {
            Item item = new Item(write.record(), mRevision, write.leaseId());
            mItems.put(write.record().name(), item);
        }
        commit.removals().forEach(mItems::remove);
        notifyListeners();
        return new Committed(commit.callId(), mRevision);
    }

    /** Returns a record with its revision, or revision 0 and no record if it does not exist. */
    private LoadedRecord loaded(RecordName name) {
        Item item = mItems.get(name);
        return item == null
                ? new LoadedRecord(name, 0, Optional.empty())
                : new LoadedRecord(name, item.revision(), Optional.of(item.record()));
    }

    /** Returns the record stored under a name, or empty. */
    Optional<StoredRecord> find(RecordName name) {
        return Optional.ofNullable(mItems.get(name)).map(Item::record);
    }

    /** Returns all records except those of the ownership, which nodes watch. */
    private SchedulerInput load(LoadRecords load) {
        List<LoadedRecord> records = new ArrayList<>();
        for (RecordName name : mItems.keySet()) {
            if (name.kind() != RecordKind.OWNER && name.kind() != RecordKind.TERM) {
                records.add(loaded(name));
            }
        }
        return new RecordsLoaded(load.callId(), records);
    }

    /** Removes expired leases and the records bound to them. */
    private void expireLeases() {
        Set<Long> expired = new HashSet<>();
        mLeaseDeadlinesMs.forEach(
                (leaseId, deadlineMs) -> {
                    if (deadlineMs <= mClock.nowMs()) {
                        expired.add(leaseId);
                    }
                });
        if (expired.isEmpty()) {
            return;
        }
        mLeaseDeadlinesMs.keySet().removeAll(expired);
        if (mItems.values().removeIf(item -> expired.contains(item.leaseId()))) {
            mRevision++;
            notifyListeners();
        }
    }

    private void notifyListeners() {
        mListeners.forEach(Runnable::run);
    }

    /** Returns the records of the ownership, as a watch of them shows it. */
    Ownership ownership() {
        Item owner = mItems.get(RecordName.OWNER);
        Item term = mItems.get(RecordName.TERM);
        return new Ownership(
                Optional.ofNullable(owner).map(i -> (StoredRecord.Owner) i.record()),
                owner == null ? 0 : owner.revision(),
                Optional.ofNullable(term).map(i -> (StoredRecord.Term) i.record()),
                term == null ? 0 : term.revision());
    }
}
