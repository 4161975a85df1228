package org.hibiscususher.core.scheduler.message;

import java.util.List;
import java.util.Map;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;

/** An event that the scheduler handles in its next tick. */
public sealed interface SchedulerInput {
    /**
     * The connection to the store was restored or lost.
     *
     * @param reachable whether the store is reachable now
     */
    record StoreReachabilityChanged(boolean reachable) implements SchedulerInput {}

    /**
     * A request arrived from a caller or from another entry; it gets exactly one response.
     *
     * @param callId id that the response must name
     * @param request request; it carries the number of entries that have forwarded it
     * @param arrivedMs when its bytes were read, in milliseconds of the steady clock
     */
    record RequestReceived(long callId, JobRequest request, long arrivedMs)
            implements SchedulerInput {}

    /**
     * The entry to which a request was forwarded responded.
     *
     * @param callId id of the request
     * @param response its response
     */
    record ForwardAnswered(long callId, JobResponse response) implements SchedulerInput {}

    /**
     * A forwarded request got no response.
     *
     * @param callId id of the request
     * @param address address to which it was forwarded
     * @param maybeReceived whether the other entry may have received it, so that its outcome is
     *     unknown
     */
    record ForwardFailed(long callId, String address, boolean maybeReceived)
            implements SchedulerInput {}

    /**
     * A later owner asks this process to send no more orders; it gets exactly one response.
     *
     * @param callId id that the response must name
     * @param generation generation of the later owner's term
     */
    record RelinquishRequested(long callId, long generation) implements SchedulerInput {}

    /**
     * An owner that can't reach the store offers the ownership; it gets exactly one response.
     *
     * @param callId id that the response must name
     * @param generation generation of the term that it offers to end
     */
    record HandoverOffered(long callId, long generation) implements SchedulerInput {}

    /**
     * The previous owner confirmed that it sends no more orders.
     *
     * @param generation generation of this process's term, for which it was asked
     */
    record PredecessorRelinquished(long generation) implements SchedulerInput {}

    /**
     * The operators' configuration was read.
     *
     * @param configuration configuration as read; an older version than the one in force has no
     *     effect
     * @param revision store revision of its record
     */
    record ConfigurationUpdated(JobConfiguration configuration, long revision)
            implements SchedulerInput {}

    /**
     * The operators' order for a maintenance wave was read.
     *
     * @param order hosts and limits of the wave
     */
    record WaveOrdered(WaveOrder order) implements SchedulerInput {}

    /**
     * The operators withdrew a maintenance wave.
     *
     * @param wave number of the wave
     */
    record WaveWithdrawn(long wave) implements SchedulerInput {}

    /**
     * The operators' request to evacuate an availability zone was read.
     *
     * @param zone name of the zone
     */
    record ZoneEvacuationRequested(String zone) implements SchedulerInput {}

    /**
     * The operators withdrew the evacuation of an availability zone.
     *
     * @param zone name of the zone
     */
    record ZoneEvacuationWithdrawn(String zone) implements SchedulerInput {}

    /**
     * The records of the ownership were read.
     *
     * @param ownership their content
     */
    record OwnershipUpdated(Ownership ownership) implements SchedulerInput {}

    /**
     * The store granted a lease.
     *
     * @param callId id of the call
     * @param leaseId id of the lease
     * @param ttlMs duration of the lease, in milliseconds; to be safe, counted from when the call
     *     was sent
     */
    record LeaseGranted(long callId, long leaseId, long ttlMs) implements SchedulerInput {}

    /**
     * A requested lease was not granted.
     *
     * @param callId id of the call
     */
    record LeaseDenied(long callId) implements SchedulerInput {}

    /**
     * The store renewed a lease.
     *
     * @param callId id of the call
     */
    record LeaseRenewed(long callId) implements SchedulerInput {}

    /**
     * A lease was not renewed.
     *
     * @param callId id of the call
     * @param expired whether the store no longer knows the lease
     */
    record LeaseNotRenewed(long callId, boolean expired) implements SchedulerInput {}

    /**
     * A commit took effect.
     *
     * @param callId id of the call
     * @param revision store revision of the commit, which its records now have
     */
    record Committed(long callId, long revision) implements SchedulerInput {}

    /**
     * A commit had no effect because a guard did not hold.
     *
     * @param callId id of the call
     * @param current the guarded records as they are now
     */
    record CommitConflict(long callId, List<LoadedRecord> current) implements SchedulerInput {
        /** Copies the list. */
        public CommitConflict {
            current = List.copyOf(current);
        }
    }

    /**
     * A commit failed, or got no answer.
     *
     * @param callId id of the call
     * @param uncertain whether it may have taken effect or may still
     * @param leaseExpired whether it failed because the store no longer knows a lease that it names
     */
    record CommitFailed(long callId, boolean uncertain, boolean leaseExpired)
            implements SchedulerInput {}

    /**
     * All records of the scheduler were read.
     *
     * @param callId id of the call
     * @param records records read, including those that can't be decoded
     */
    record RecordsLoaded(long callId, List<LoadedRecord> records) implements SchedulerInput {
        /** Copies the list. */
        public RecordsLoaded {
            records = List.copyOf(records);
        }
    }

    /**
     * The records could not be read.
     *
     * @param callId id of the call
     */
    record LoadFailed(long callId) implements SchedulerInput {}

    /**
     * All executors' reports in the store were read.
     *
     * @param reports reports of all executors; an executor without one is missing
     */
    record ExecutorsListed(List<ExecutorReport> reports) implements SchedulerInput {
        /** Copies the list. */
        public ExecutorsListed {
            reports = List.copyOf(reports);
        }
    }

    /**
     * An executor's report was added to the store or changed there.
     *
     * @param report new content of the report
     */
    record ExecutorUpdated(ExecutorReport report) implements SchedulerInput {}

    /**
     * An executor's report was removed from the store.
     *
     * @param id executor id
     */
    record ExecutorRemoved(String id) implements SchedulerInput {}

    /**
     * An executor answered a heartbeat.
     *
     * @param callId id of the call
     * @param executor executor id
     * @param startedAtMs start time of the executor's process, in milliseconds since the epoch
     * @param executorClockMs time on the executor's clock, in milliseconds
     * @param runs runs that are in progress there
     * @param finishedRuns finished runs that are not acknowledged
     * @param complete whether the lists name all runs in progress and all finished ones that are
     *     not acknowledged; otherwise the rest follows once some are acknowledged
     */
    record HeartbeatAnswered(
            long callId,
            String executor,
            long startedAtMs,
            long executorClockMs,
            List<ReportedRun> runs,
            List<FinishedRun> finishedRuns,
            boolean complete)
            implements SchedulerInput {
        /** Copies the lists. */
        public HeartbeatAnswered {
            runs = List.copyOf(runs);
            finishedRuns = List.copyOf(finishedRuns);
        }
    }

    /**
     * A heartbeat to an executor failed.
     *
     * @param callId id of the call
     * @param executor executor id
     * @param failure why it failed
     */
    record HeartbeatFailed(long callId, String executor, HeartbeatFailure failure)
            implements SchedulerInput {}

    /**
     * The call that carried a start order completed, with or without an answer.
     *
     * @param callId id of the call
     * @param task task that the run executes
     * @param run number of the run
     * @param result result of the call, which may be that no answer arrived
     * @param executorClockMs time on the executor's clock when it answered, in milliseconds; {@link
     *     #UNKNOWN_CLOCK_MS} if no answer said so
     */
    record StartCallCompleted(
            long callId, TaskKey task, int run, StartResult result, long executorClockMs)
            implements SchedulerInput {
        /** Stands for an executor's clock that no answer told. */
        public static final long UNKNOWN_CLOCK_MS = -1;

        /** Creates the result of a call whose answer, if any, did not tell the clock. */
        public StartCallCompleted(long callId, TaskKey task, int run, StartResult result) {
            this(callId, task, run, result, UNKNOWN_CLOCK_MS);
        }
    }

    /**
     * The call that carried a stop order completed, with or without an answer.
     *
     * @param callId id of the call
     * @param task task that the run executes
     * @param run number of the run
     * @param result result of the call, which may be that no answer arrived
     */
    record StopCallCompleted(long callId, TaskKey task, int run, StopResult result)
            implements SchedulerInput {}

    /**
     * The external service answered which of the requested executors may run a step.
     *
     * @param callId id of the call
     * @param step step that the request was about
     * @param tokens placement token by executor id, for the executors that may run the step
     * @param validMs how long the tokens are valid, in milliseconds; to be safe, counted from when
     *     the call was sent
     */
    record AdviceReceived(long callId, StepKey step, Map<String, String> tokens, long validMs)
            implements SchedulerInput {
        /** Copies the map. */
        public AdviceReceived {
            tokens = Map.copyOf(tokens);
        }
    }

    /**
     * The external service gave no advice on a step.
     *
     * @param callId id of the call
     * @param step step that the request was about
     */
    record AdviceFailed(long callId, StepKey step) implements SchedulerInput {}

    /**
     * The platform listed the hosts.
     *
     * @param callId id of the call
     * @param hosts hosts of all pools
     */
    record HostsListed(long callId, List<HostReport> hosts) implements SchedulerInput {
        /** Copies the list. */
        public HostsListed {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * The hosts could not be listed.
     *
     * @param callId id of the call
     */
    record HostListFailed(long callId) implements SchedulerInput {}

    /**
     * The call that carried an order for a host completed, with or without an answer.
     *
     * @param callId id of the call
     * @param host host id
     * @param result result of the call, which may be that no answer arrived
     */
    record HostOrderCompleted(long callId, String host, HostOrderResult result)
            implements SchedulerInput {}

    /** The process was asked to stop. */
    record ShutdownRequested() implements SchedulerInput {}

    /** No connection of a caller is open any more, and each of their requests has its response. */
    record ConnectionsDrained() implements SchedulerInput {}
}
