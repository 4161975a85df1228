package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.Ownership;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.table.GroupedTable;
import org.hibiscususher.core.table.Single;
import org.hibiscususher.core.table.Table;

/** The tables of the scheduler. Not thread-safe: they belong to the control thread. */
public final class SchedulerWorld {
    private final SchedulerSettings mSettings;
    private final Single<TermRow> mTerm = Single.of(TermRow.initial());
    private final Single<OwnershipRow> mOwnership =
            Single.of(new OwnershipRow(false, Ownership.NONE, 0));
    private final Single<OwnershipClaimRow> mClaim = Single.of(OwnershipClaimRow.NONE);
    private final Single<LeaseRenewalRow> mRenewal = Single.of(new LeaseRenewalRow(0, 0));
    private final Single<HandoverRow> mOffer = Single.of(HandoverRow.NONE);
    private final Single<LastTickRow> mClock = Single.of(new LastTickRow(0, 0));
    private final Single<NodeStateRow> mNode = Single.of(new NodeStateRow(false, true, 0));
    private final Single<ConfigurationRow> mPlan =
            Single.of(new ConfigurationRow(JobConfiguration.EMPTY, 0));
    private final Single<StoreHealthRow> mStore = Single.of(new StoreHealthRow(0, 0, 0));
    private final Single<StoredRecord.Executors> mUsedExecutors =
            Single.of(new StoredRecord.Executors(List.of()));
    private final Single<HostListRow> mHostList = Single.of(new HostListRow(0, 0, 0));
    private final Single<Optional<CommitRow>> mCommit = Single.of(Optional.empty());
    private final Table<RecordName, Long> mRevisions = Table.create();
    private final Table<RecordName, StoredRecord> mPendingRecords = Table.create();
    private final Table<RecordName, Long> mPendingRemovals = Table.create();
    private final Table<String, JobRow> mJobs = Table.create();
    private final Table<StepKey, StepRow> mSteps = Table.create();
    private final GroupedTable<TaskKey, TaskRow, TaskGroup> mTasks =
            GroupedTable.createBy(TaskRow::group);
    private final GroupedTable<TaskKey, RunRow, String> mRuns =
            GroupedTable.createBy(RunRow::executor);
    private final GroupedTable<String, ExecutorRow, String> mExecutors =
            GroupedTable.createBy(ExecutorRow::pool);
    private final Table<String, ExecutorSessionRow> mContacts = Table.create();
    private final Table<String, ExecutorHealthRow> mStandings = Table.create();
    private final GroupedTable<FinishedRunKey, FinishedRunRow, String> mEnds =
            GroupedTable.createBy(e -> e.key().executor());
    private final Table<StartKey, UncertainStartRow> mUncertainStarts = Table.create();
    private final Table<StepKey, AdviceRow> mAdvice = Table.create();
    private final Single<AdviceRequestRow> mAdviceCall = Single.of(AdviceRequestRow.NONE);
    private final Table<Long, PendingRequestRow> mCalls = Table.create();
    private final Table<Long, WaveRow> mWaves = Table.create();
    private final Table<String, HostReport> mHosts = Table.create();
    private final Table<String, HostOperationRow> mHostTasks = Table.create();
    private final Single<Long> mMovesDecidedMs = Single.of(0L);
    private final Table<String, HostOrderRow> mHostOrders = Table.create();
    private final Single<StoredRecord.HostOrders> mRecordedHostOrders =
            Single.of(new StoredRecord.HostOrders(List.of()));

    private SchedulerWorld(SchedulerSettings settings) {
        mSettings = requireNonNull(settings);
    }

    /** Creates the tables of a process that has just started. */
    public static SchedulerWorld create(SchedulerSettings settings) {
        return new SchedulerWorld(settings);
    }

    /** Returns who the process is, and its times. */
    public SchedulerSettings settings() {
        return mSettings;
    }

    /** Returns the process's part in the ownership. */
    public Single<TermRow> term() {
        return mTerm;
    }

    /** Returns who owns the scheduling. */
    public Single<OwnershipRow> ownership() {
        return mOwnership;
    }

    /** Returns the claim of the ownership that is under way. */
    public Single<OwnershipClaimRow> ownershipClaim() {
        return mClaim;
    }

    /** Returns the renewal that is awaited. */
    public Single<LeaseRenewalRow> leaseRenewal() {
        return mRenewal;
    }

    /** Returns the offers of the ownership. */
    public Single<HandoverRow> handover() {
        return mOffer;
    }

    /** Returns the times of the last tick. */
    public Single<LastTickRow> lastTick() {
        return mClock;
    }

    /** Returns what the process tells the balancer. */
    public Single<NodeStateRow> nodeState() {
        return mNode;
    }

    /** Returns the configuration in force. */
    public Single<ConfigurationRow> configuration() {
        return mPlan;
    }

    /** Returns how the store answers. */
    public Single<StoreHealthRow> storeHealth() {
        return mStore;
    }

    /** Returns the executors in use, as they were last handed to the store. */
    public Single<StoredRecord.Executors> usedExecutors() {
        return mUsedExecutors;
    }

    /** Returns the state of the list of hosts. */
    public Single<HostListRow> hostList() {
        return mHostList;
    }

    /** Returns the commit under way. */
    public Single<Optional<CommitRow>> commit() {
        return mCommit;
    }

    /** Returns the revisions of the records in the store. */
    public Table<RecordName, Long> revisions() {
        return mRevisions;
    }

    /** Returns records that wait to be written, other than those of jobs. */
    public Table<RecordName, StoredRecord> pendingRecords() {
        return mPendingRecords;
    }

    /** Returns the records that wait to be removed, with their revisions. */
    public Table<RecordName, Long> pendingRemovals() {
        return mPendingRemovals;
    }

    /** Returns the jobs by id. */
    public Table<String, JobRow> jobs() {
        return mJobs;
    }

    /** Returns the steps whose turn has come. */
    public Table<StepKey, StepRow> steps() {
        return mSteps;
    }

    /** Returns the tasks whose turn has come and that are not done, by pool and state. */
    public GroupedTable<TaskKey, TaskRow, TaskGroup> tasks() {
        return mTasks;
    }

    /** Returns the runs by task, grouped by executor. */
    public GroupedTable<TaskKey, RunRow, String> runs() {
        return mRuns;
    }

    /** Returns the executors by id, grouped by pool. */
    public GroupedTable<String, ExecutorRow, String> executors() {
        return mExecutors;
    }

    /** Returns the contacts by executor. */
    public Table<String, ExecutorSessionRow> executorSessions() {
        return mContacts;
    }

    /** Returns how runs end, by executor. */
    public Table<String, ExecutorHealthRow> executorHealth() {
        return mStandings;
    }

    /** Returns the ends that are not acknowledged yet, grouped by executor. */
    public GroupedTable<FinishedRunKey, FinishedRunRow, String> finishedRuns() {
        return mEnds;
    }

    /** Returns the orders to start runs that were not answered. */
    public Table<StartKey, UncertainStartRow> uncertainStarts() {
        return mUncertainStarts;
    }

    /** Returns which executors may run the steps of queues whose policy is asked elsewhere. */
    public Table<StepKey, AdviceRow> advice() {
        return mAdvice;
    }

    /** Returns the request for advice that is awaited. */
    public Single<AdviceRequestRow> adviceRequest() {
        return mAdviceCall;
    }

    /** Returns the callers' requests that wait. */
    public Table<Long, PendingRequestRow> pendingRequests() {
        return mCalls;
    }

    /** Returns the maintenance waves by number. */
    public Table<Long, WaveRow> waves() {
        return mWaves;
    }

    /** Returns the hosts as last listed. */
    public Table<String, HostReport> hosts() {
        return mHosts;
    }

    /** Returns the hosts that are maintained or moved. */
    public Table<String, HostOperationRow> hostOperations() {
        return mHostTasks;
    }

    /** Returns when moves of hosts were last decided on. */
    public Single<Long> movesDecidedMs() {
        return mMovesDecidedMs;
    }

    /** Returns the hosts for which orders may have been given of late. */
    public Table<String, HostOrderRow> hostOrders() {
        return mHostOrders;
    }

    /** Returns the hosts with orders, as they were last handed to the store. */
    public Single<StoredRecord.HostOrders> recordedHostOrders() {
        return mRecordedHostOrders;
    }

    /** Forgets everything that only an owner keeps. */
    public void clearOwnerTables() {
        mCommit.set(Optional.empty());
        mUsedExecutors.set(new StoredRecord.Executors(List.of()));
        mHostList.set(new HostListRow(0, 0, 0));
        mRecordedHostOrders.set(new StoredRecord.HostOrders(List.of()));
        for (Table<?, ?> table : ownerTables()) {
            table.clear();
        }
    }

    private List<Table<?, ?>> ownerTables() {
        return List.of(
                mRevisions,
                mPendingRecords,
                mPendingRemovals,
                mJobs,
                mSteps,
                mTasks,
                mRuns,
                mExecutors,
                mContacts,
                mStandings,
                mEnds,
                mUncertainStarts,
                mAdvice,
                mHosts,
                mHostTasks,
                mHostOrders);
    }
}
