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

/** The platform's store: records with revisions, conditions and leases, and its faults. */
final class VirtualKeyValueStore {
    private static final long ANSWER_MS = 4;
    private static final long LATE_MS = 2_500;
    private static final long SILENCE_MS = 600;

    private final VirtualClock mClock;
    private final Random mRandom;
    private final Map<RecordName, Item> mItems = new LinkedHashMap<>();
    private final Map<Long, Long> mLeases = new HashMap<>();
    private final List<Runnable> mListeners = new ArrayList<>();
    private final Set<String> mCutOff = new HashSet<>();
    private boolean mDown;
    private double mLostShare;
    private boolean mLate;
    private long mRevision = 1;
    private long mNextLease = 100;

    VirtualKeyValueStore(VirtualClock clock, Random random) {
        mClock = clock;
        mRandom = random;
    }

    private record Item(StoredRecord record, long revision, long leaseId) {}

    /** Calls something back after each change. */
    void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    void setDown(boolean down) {
        mDown = down;
    }

    /** Loses the answers to a share of commits; late ones take effect seconds later. */
    void dropCommitResponses(double share, boolean late) {
        mLostShare = share;
        mLate = late;
    }

    void cutOff(String node, boolean cut) {
        if (cut) {
            mCutOff.add(node);
        } else {
            mCutOff.remove(node);
        }
    }

    boolean isUnreachable(String node) {
        return mDown || mCutOff.contains(node);
    }

    /** Carries out a call of a node; {@code answer} gets the input that answers it. */
    void call(String node, SchedulerOutput output, Consumer<SchedulerInput> answer) {
        if (isUnreachable(node)) {
            mClock.after(SILENCE_MS, () -> answer.accept(failure(output, false)));
            return;
        }
        boolean lost = output instanceof Commit && mRandom.nextDouble() < mLostShare;
        if (lost) {
            long takesEffectMs = mLate ? LATE_MS : ANSWER_MS / 2;
            mClock.after(takesEffectMs, () -> carryOut(output));
            mClock.after(SILENCE_MS, () -> answer.accept(failure(output, true)));
        } else {
            mClock.after(ANSWER_MS / 2, () -> reply(answer, carryOut(output)));
        }
    }

    private void reply(Consumer<SchedulerInput> answer, SchedulerInput input) {
        mClock.after(ANSWER_MS / 2, () -> answer.accept(input));
    }

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

    private SchedulerInput carryOut(SchedulerOutput output) {
        expireLeases();
        if (output instanceof GrantLease grant) {
            long lease = mNextLease++;
            mLeases.put(lease, mClock.nowMs() + grant.ttlMs());
            mClock.after(grant.ttlMs() + 1, this::expireLeases);
            return new LeaseGranted(grant.callId(), lease, grant.ttlMs());
        } else if (output instanceof RenewLease renew) {
            return renew(renew);
        } else if (output instanceof Commit commit) {
            return commit(commit);
        }
        return load((LoadRecords) output);
    }

    private SchedulerInput renew(RenewLease renew) {
        if (!mLeases.containsKey(renew.leaseId())) {
            return new LeaseNotRenewed(renew.callId(), true);
        }
        long ttlMs = SchedulerTiming.DEFAULT.ownerTtlMs();
        mLeases.put(renew.leaseId(), mClock.nowMs() + ttlMs);
        mClock.after(ttlMs + 1, this::expireLeases);
        return new LeaseRenewed(renew.callId());
    }

    private SchedulerInput commit(Commit commit) {
        List<LoadedRecord> current = new ArrayList<>();
        boolean holds = true;
        for (RecordGuard guard : commit.guards()) {
            LoadedRecord loaded = loaded(guard.name());
            current.add(loaded);
            holds &= loaded.revision() == guard.revision();
        }
        if (!holds) {
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

    private LoadedRecord loaded(RecordName name) {
        Item item = mItems.get(name);
        return item == null
                ? new LoadedRecord(name, 0, Optional.empty())
                : new LoadedRecord(name, item.revision(), Optional.of(item.record()));
    }

    /** Returns the record of a name, if there is one. */
    Optional<StoredRecord> find(RecordName name) {
        return Optional.ofNullable(mItems.get(name)).map(Item::record);
    }

    private SchedulerInput load(LoadRecords load) {
        List<LoadedRecord> records = new ArrayList<>();
        for (RecordName name : mItems.keySet()) {
            if (name.kind() != RecordKind.OWNER && name.kind() != RecordKind.TERM) {
                records.add(loaded(name));
            }
        }
        return new RecordsLoaded(load.callId(), records);
    }

    private void expireLeases() {
        Set<Long> ended = new HashSet<>();
        mLeases.forEach(
                (lease, endMs) -> {
                    if (endMs <= mClock.nowMs()) {
                        ended.add(lease);
                    }
                });
        if (ended.isEmpty()) {
            return;
        }
        mLeases.keySet().removeAll(ended);
        if (mItems.values().removeIf(item -> ended.contains(item.leaseId()))) {
            mRevision++;
            notifyListeners();
        }
    }

    private void notifyListeners() {
        mListeners.forEach(Runnable::run);
    }

    /** Returns who owns the scheduling. */
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
