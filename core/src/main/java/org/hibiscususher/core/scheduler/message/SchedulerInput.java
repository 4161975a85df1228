package org.hibiscususher.core.scheduler.message;

import java.util.List;
import java.util.Map;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;

/** Something that happened, told to the scheduler. */
public sealed interface SchedulerInput {
    /** The store was reached again, or no longer is. */
    record StoreReachabilityChanged(boolean reachable) implements SchedulerInput {}

    /** A caller's request came, itself or from another entry; it gets exactly one answer. */
    record RequestReceived(long callId, JobRequest request) implements SchedulerInput {}

    /**
     * A forwarded request got no answer; {@code maybeReceived} tells whether it may have been
     * taken.
     */
    record ForwardFailed(long callId, String address, boolean maybeReceived)
            implements SchedulerInput {}

    /** A later owner asks this process to give no more orders; it gets one answer. */
    record RelinquishRequested(long callId, long generation) implements SchedulerInput {}

    /** The owner, out of reach of the store, offers the ownership; it gets one answer. */
    record HandoverOffered(long callId, long generation) implements SchedulerInput {}

    /** The owner before this one surely gives no more orders. */
    record PredecessorRelinquished(long generation) implements SchedulerInput {}

    /** The operators' configuration, with its revision in the store. */
    record ConfigurationUpdated(JobConfiguration configuration, long revision)
            implements SchedulerInput {}

    /** An operators' order to maintain hosts. */
    record WaveOrdered(WaveOrder order) implements SchedulerInput {}

    /** The operators withdrew an order to maintain hosts. */
    record WaveWithdrawn(long wave) implements SchedulerInput {}

    /** Who owns the scheduling. */
    record OwnershipUpdated(Ownership ownership) implements SchedulerInput {}

    /** A lease of the store was granted, for {@code ttlMs} from the sending of the call. */
    record LeaseGranted(long callId, long leaseId, long ttlMs) implements SchedulerInput {}

    /** A lease of the store was not granted. */
    record LeaseDenied(long callId) implements SchedulerInput {}

    /** A lease was renewed. */
    record LeaseRenewed(long callId) implements SchedulerInput {}

    /** A lease was not renewed; {@code expired} tells whether the store no longer knows it. */
    record LeaseNotRenewed(long callId, boolean expired) implements SchedulerInput {}

    /** A commit took effect. */
    record Committed(long callId, long revision) implements SchedulerInput {}

    /** A commit's conditions did not hold; the guarded records as they are now. */
    record CommitConflict(long callId, List<LoadedRecord> current) implements SchedulerInput {
        /** Copies the list. */
        public CommitConflict {
            current = List.copyOf(current);
        }
    }

    /** A commit failed; {@code uncertain} tells whether it may have taken effect or still may. */
    record CommitFailed(long callId, boolean uncertain, boolean leaseExpired)
            implements SchedulerInput {}

    /** All records of jobs, executors and waves. */
    record RecordsLoaded(long callId, List<LoadedRecord> records) implements SchedulerInput {
        /** Copies the list. */
        public RecordsLoaded {
            records = List.copyOf(records);
        }
    }

    /** The records could not be read. */
    record LoadFailed(long callId) implements SchedulerInput {}

    /** All executors that are in the store. */
    record ExecutorsListed(List<ExecutorReport> reports) implements SchedulerInput {
        /** Copies the list. */
        public ExecutorsListed {
            reports = List.copyOf(reports);
        }
    }

    /** An executor's report is new or has changed. */
    record ExecutorUpdated(ExecutorReport report) implements SchedulerInput {}

    /** An executor's report is no longer in the store. */
    record ExecutorRemoved(String id) implements SchedulerInput {}

    /** An executor listed its runs and the ends that were not acknowledged. */
    record HeartbeatAnswered(
            long callId,
            String executor,
            long startedAtMs,
            long executorClockMs,
            List<ReportedRun> runs,
            List<FinishedRun> finishedRuns)
            implements SchedulerInput {
        /** Copies the lists. */
        public HeartbeatAnswered {
            runs = List.copyOf(runs);
            finishedRuns = List.copyOf(finishedRuns);
        }
    }

    /** An executor's lists could not be read. */
    record HeartbeatFailed(long callId, String executor, HeartbeatFailure failure)
            implements SchedulerInput {}

    /** An order to start a run was answered or not; {@code callId} is that of the order. */
    record StartCallCompleted(long callId, TaskKey task, int run, StartResult result)
            implements SchedulerInput {}

    /** An order to stop a run was answered or not. */
    record StopCallCompleted(long callId, TaskKey task, int run, StopResult result)
            implements SchedulerInput {}

    /** Which of the executors that were asked for may run a step. */
    record AdviceReceived(long callId, StepKey step, Map<String, String> tokens, long validMs)
            implements SchedulerInput {
        /** Copies the map. */
        public AdviceReceived {
            tokens = Map.copyOf(tokens);
        }
    }

    /** No advice on a step came. */
    record AdviceFailed(long callId, StepKey step) implements SchedulerInput {}

    /** The hosts of all pools. */
    record HostsListed(long callId, List<HostReport> hosts) implements SchedulerInput {
        /** Copies the list. */
        public HostsListed {
            hosts = List.copyOf(hosts);
        }
    }

    /** The hosts could not be listed. */
    record HostListFailed(long callId) implements SchedulerInput {}

    /** An order for a host was answered or not. */
    record HostOrderCompleted(long callId, String host, HostOrderResult result)
            implements SchedulerInput {}

    /** The process was asked to stop. */
    record ShutdownRequested() implements SchedulerInput {}
}
