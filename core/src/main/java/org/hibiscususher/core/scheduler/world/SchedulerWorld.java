package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.Ownership;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.table.GroupedTable;
import org.hibiscususher.core.table.SingleRowTable;
import org.hibiscususher.core.table.Table;

/** The tables of the scheduler. Not thread-safe: they belong to the control thread. */
public final class SchedulerWorld {
    private final SchedulerSettings mSettings;
    private final SingleRowTable<TermRow> mTerm = SingleRowTable.of(TermRow.initial());
    private final SingleRowTable<OwnershipRow> mOwnership =
            SingleRowTable.of(new OwnershipRow(false, Ownership.NONE, 0));
    private final SingleRowTable<OwnershipClaimRow> mOwnershipClaim =
            SingleRowTable.of(OwnershipClaimRow.NONE);
    private final SingleRowTable<LeaseRenewalRow> mLeaseRenewal =
            SingleRowTable.of(new LeaseRenewalRow(0, 0));
    private final SingleRowTable<HandoverRow> mHandover = SingleRowTable.of(HandoverRow.NONE);
    private final SingleRowTable<LastTickRow> mLastTick = SingleRowTable.of(new LastTickRow(0, 0));
    private final SingleRowTable<NodeStateRow> mNodeState = SingleRowTable.of(NodeStateRow.INITIAL);
    private final SingleRowTable<ConfigurationRow> mConfiguration =
            SingleRowTable.of(new ConfigurationRow(JobConfiguration.EMPTY, 0));
    private final SingleRowTable<StoreHealthRow> mStoreHealth =
            SingleRowTable.of(new StoreHealthRow(0, 0, 0));
    private final SingleRowTable<StoredRecord.Executors> mUsedExecutors =
            SingleRowTable.of(new StoredRecord.Executors(List.of()));
    private final SingleRowTable<HostListRow> mHostList =
            SingleRowTable.of(new HostListRow(0, 0, 0));
    private final Table<Long, CommitRow> mCommits = Table.create();
    private final Table<RecordName, Long> mRevisions = Table.create();
    private final Table<RecordName, StoredRecord> mPendingRecords = Table.create();
    private final Table<RecordName, RecordName> mPendingRemovals = Table.create();
    private final GroupedTable<String, JobRow, StoreState> mJobs =
            GroupedTable.createBy(JobRow::storeState);
    private final Table<String, CancellationRow> mCancellations = Table.create();
    private final Table<StepKey, StepRow> mSteps = Table.create();
    private final GroupedTable<TaskKey, TaskRow, TaskGroup> mTasks =
            GroupedTable.createBy(TaskRow::group);
    private final GroupedTable<TaskKey, RunRow, String> mRuns =
            GroupedTable.createBy(RunRow::executor);
    private final GroupedTable<String, ExecutorRow, String> mExecutors =
            GroupedTable.createBy(ExecutorRow::pool);
    private final Table<String, ExecutorSessionRow> mExecutorSessions = Table.create();
    private final Table<String, ExecutorHealthRow> mExecutorHealth = Table.create();
    private final GroupedTable<FinishedRunKey, FinishedRunRow, String> mFinishedRuns =
            GroupedTable.createBy(e -> e.key().executor());
    private final Table<StartKey, UncertainStartRow> mUncertainStarts = Table.create();
    private final Table<StepKey, AdviceRow> mAdvice = Table.create();
    private final SingleRowTable<AdviceRequestRow> mAdviceRequest =
            SingleRowTable.of(AdviceRequestRow.NONE);
    private final GroupedTable<Long, PendingRequestRow, String> mPendingRequests =
            GroupedTable.createBy(PendingRequestRow::job);
    private final SingleRowTable<RequestQueueRow> mRequestQueue =
            SingleRowTable.of(RequestQueueRow.EMPTY);
    private final SingleRowTable<ForwardLimitRow> mForwardLimit =
            SingleRowTable.of(ForwardLimitRow.initial(Optional.empty(), 0));
    private final Table<TeamQueue, TeamRejectionRow> mTeamRejections = Table.create();
    private final Table<String, PoolBacklogRow> mPoolBacklogs = Table.create();
    private final Table<RunTimeKey, RunTimeRow> mRunTimes = Table.create();
    private final SingleRowTable<RunTimeRecordRow> mRunTimeRecord =
            SingleRowTable.of(RunTimeRecordRow.INITIAL);
    private final Table<Long, WaveRow> mWaves = Table.create();
    private final Table<String, ZoneEvacuationRow> mZoneEvacuations = Table.create();
    private final Table<String, HostReport> mHosts = Table.create();
    private final Table<String, HostOperationRow> mHostOperations = Table.create();
    private final SingleRowTable<Long> mMovesDecidedMs = SingleRowTable.of(0L);
    private final Table<String, HostOrderRow> mHostOrders = Table.create();
    private final SingleRowTable<StoredRecord.HostOrders> mRecordedHostOrders =
            SingleRowTable.of(new StoredRecord.HostOrders(List.of()));

    private SchedulerWorld(SchedulerSettings settings) {
        mSettings = requireNonNull(settings);
    }

    /** Creates the tables of a process that has just started. */
    public static SchedulerWorld create(SchedulerSettings settings) {
        return new SchedulerWorld(settings);
    }

    /** Returns the identity and timing of the process. */
    public SchedulerSettings settings() {
        return mSettings;
    }

    /** Returns the process's part in the ownership. */
    public SingleRowTable<TermRow> term() {
        return mTerm;
    }

    /** Returns the owner of the scheduling, as last reported by the store. */
    public SingleRowTable<OwnershipRow> ownership() {
        return mOwnership;
    }

    /** Returns the last attempt of this process to become the owner. */
    public SingleRowTable<OwnershipClaimRow> ownershipClaim() {
        return mOwnershipClaim;
    }

    /** Returns the renewal of the owner's lease. */
    public SingleRowTable<LeaseRenewalRow> leaseRenewal() {
        return mLeaseRenewal;
    }

    /** Returns the offers of the ownership. */
    public SingleRowTable<HandoverRow> handover() {
        return mHandover;
    }

    /** Returns the times of the previous tick. */
    public SingleRowTable<LastTickRow> lastTick() {
        return mLastTick;
    }

    /** Returns readiness, store connection and shutdown of the process. */
    public SingleRowTable<NodeStateRow> nodeState() {
        return mNodeState;
    }

    /** Returns the configuration in force. */
    public SingleRowTable<ConfigurationRow> configuration() {
        return mConfiguration;
    }

    /** Returns whether commits to the store succeed. */
    public SingleRowTable<StoreHealthRow> storeHealth() {
        return mStoreHealth;
    }

    /** Returns the executors in use, as last submitted to the store. */
    public SingleRowTable<StoredRecord.Executors> usedExecutors() {
        return mUsedExecutors;
    }

    /** Returns the state of the periodic listing of hosts. */
    public SingleRowTable<HostListRow> hostList() {
        return mHostList;
    }

    /** Returns the commits in flight by id, oldest first. */
    public Table<Long, CommitRow> commits() {
        return mCommits;
    }

    /** Returns whether a commit in flight writes or removes a record. */
    public boolean isCommitInFlight(RecordName name) {
        return mCommits.rows().stream().anyMatch(commit -> commit.names(name));
    }

    /** Returns whether a commit in flight writes or removes any record of a job. */
    public boolean isJobCommitInFlight(String id) {
        return Arrays.stream(RecordKind.values())
                .filter(RecordKind::isOfJob)
                .anyMatch(kind -> isCommitInFlight(RecordName.of(kind, id)));
    }

    /** Returns the revisions of the stored records. */
    public Table<RecordName, Long> revisions() {
        return mRevisions;
    }

    /** Returns the records that must be written, other than those of jobs. */
    public Table<RecordName, StoredRecord> pendingRecords() {
        return mPendingRecords;
    }

    /**
     * Returns the records to be removed, by name: progress, which is removed together with its job,
     * and cancellations.
     */
    public Table<RecordName, RecordName> pendingRemovals() {
        return mPendingRemovals;
    }

    /** Returns the jobs by id, grouped by what the store holds of them. */
    public GroupedTable<String, JobRow, StoreState> jobs() {
        return mJobs;
    }

    /** Returns the cancellations of jobs that no submission had named before, by job id. */
    public Table<String, CancellationRow> cancellations() {
        return mCancellations;
    }

    /** Returns the activated steps by key. */
    public Table<StepKey, StepRow> steps() {
        return mSteps;
    }

    /** Returns the tasks of activated steps that are not done, grouped by step and state. */
    public GroupedTable<TaskKey, TaskRow, TaskGroup> tasks() {
        return mTasks;
    }

    /** Returns the groups of the tasks that wait in a pool. */
    public List<TaskGroup> waitingGroups(String pool) {
        List<TaskGroup> waiting = new ArrayList<>();
        for (TaskGroup group : mTasks.groups()) {
            if (group.isWaitingIn(pool)) {
                waiting.add(group);
            }
        }
        return waiting;
    }

    /** Returns the runs by task, grouped by executor. */
    public GroupedTable<TaskKey, RunRow, String> runs() {
        return mRuns;
    }

    /** Returns the executors by id, grouped by pool. */
    public GroupedTable<String, ExecutorRow, String> executors() {
        return mExecutors;
    }

    /** Returns the sessions with executors by executor id. */
    public Table<String, ExecutorSessionRow> executorSessions() {
        return mExecutorSessions;
    }

    /** Returns how runs finish, by executor id. */
    public Table<String, ExecutorHealthRow> executorHealth() {
        return mExecutorHealth;
    }

    /** Returns the finished runs that are not acknowledged yet, grouped by executor. */
    public GroupedTable<FinishedRunKey, FinishedRunRow, String> finishedRuns() {
        return mFinishedRuns;
    }

    /** Returns the start orders that got no answer. */
    public Table<StartKey, UncertainStartRow> uncertainStarts() {
        return mUncertainStarts;
    }

    /** Returns the executors on which an external service allows a step to run, by step. */
    public Table<StepKey, AdviceRow> advice() {
        return mAdvice;
    }

    /** Returns the advice request in flight. */
    public SingleRowTable<AdviceRequestRow> adviceRequest() {
        return mAdviceRequest;
    }

    /**
     * Returns the callers' requests that are not answered yet, by call id, grouped by the job that
     * must be stored before they are.
     */
    public GroupedTable<Long, PendingRequestRow, String> pendingRequests() {
        return mPendingRequests;
    }

    /** Returns for how long requests wait until this process decides on them. */
    public SingleRowTable<RequestQueueRow> requestQueue() {
        return mRequestQueue;
    }

    /** Returns how many unanswered submissions this entry may have at the owner. */
    public SingleRowTable<ForwardLimitRow> forwardLimit() {
        return mForwardLimit;
    }

    /** Returns the refusals that the owner has extended to further submissions. */
    public Table<TeamQueue, TeamRejectionRow> teamRejections() {
        return mTeamRejections;
    }

    /** Returns the waiting work of each pool by name, as last derived from the other tables. */
    public Table<String, PoolBacklogRow> poolBacklogs() {
        return mPoolBacklogs;
    }

    /** Returns the run times that finished runs have shown, by which steps are alike. */
    public Table<RunTimeKey, RunTimeRow> runTimes() {
        return mRunTimes;
    }

    /** Returns whether the record of run times has to be written. */
    public SingleRowTable<RunTimeRecordRow> runTimeRecord() {
        return mRunTimeRecord;
    }

    /** Returns the maintenance waves by number. */
    public Table<Long, WaveRow> waves() {
        return mWaves;
    }

    /** Returns the evacuated availability zones by name, which are kept across terms. */
    public Table<String, ZoneEvacuationRow> zoneEvacuations() {
        return mZoneEvacuations;
    }

    /** Returns the hosts by id, as last listed. */
    public Table<String, HostReport> hosts() {
        return mHosts;
    }

    /** Returns the maintenance and moves in progress, by host id. */
    public Table<String, HostOperationRow> hostOperations() {
        return mHostOperations;
    }

    /** Returns when moves of hosts were last decided on, in milliseconds of the steady clock. */
    public SingleRowTable<Long> movesDecidedMs() {
        return mMovesDecidedMs;
    }

    /** Returns the hosts that may have been ordered recently, by host id. */
    public Table<String, HostOrderRow> hostOrders() {
        return mHostOrders;
    }

    /** Returns the hosts with orders, as last submitted to the store. */
    public SingleRowTable<StoredRecord.HostOrders> recordedHostOrders() {
        return mRecordedHostOrders;
    }

    /** Clears everything that only an owner keeps. */
    public void clearOwnerTables() {
        mUsedExecutors.set(new StoredRecord.Executors(List.of()));
        mHostList.set(new HostListRow(0, 0, 0));
        mRunTimeRecord.set(RunTimeRecordRow.INITIAL);
        mRecordedHostOrders.set(new StoredRecord.HostOrders(List.of()));
        mRequestQueue.set(RequestQueueRow.EMPTY);
        for (Table<?, ?> table : ownerTables()) {
            table.clear();
        }
    }

    private List<Table<?, ?>> ownerTables() {
        return List.of(
                mCommits,
                mRevisions,
                mPendingRecords,
                mPendingRemovals,
                mJobs,
                mCancellations,
                mSteps,
                mTasks,
                mRuns,
                mExecutors,
                mExecutorSessions,
                mExecutorHealth,
                mFinishedRuns,
                mUncertainStarts,
                mAdvice,
                mPoolBacklogs,
                mRunTimes,
                mHosts,
                mHostOperations,
                mHostOrders);
    }
}
