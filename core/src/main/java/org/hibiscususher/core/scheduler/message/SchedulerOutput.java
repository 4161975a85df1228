package org.hibiscususher.core.scheduler.message;

import java.util.List;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;

/** Something that the scheduler wants done. */
public sealed interface SchedulerOutput {
    /** Answers a caller. */
    record Respond(long callId, JobResponse response) implements SchedulerOutput {}

    /** Passes a caller's request on to the owner. */
    record Forward(long callId, String address, JobRequest request) implements SchedulerOutput {}

    /** Asks the owner of an earlier term to give no more orders. */
    record AskRelinquish(String address, long generation) implements SchedulerOutput {}

    /** Offer the ownership to an entry that may reach the store. */
    record OfferHandover(String address, long generation) implements SchedulerOutput {}

    /** Asks the store for a lease. */
    record GrantLease(long callId, long ttlMs) implements SchedulerOutput {}

    /** Renews a lease of the store. */
    record RenewLease(long callId, long leaseId) implements SchedulerOutput {}

    /** Changes records, all or none; the answer is awaited for {@code timeoutMs}. */
    record Commit(
            long callId,
            List<RecordGuard> guards,
            List<RecordWrite> writes,
            List<RecordName> removals,
            int timeoutMs)
            implements SchedulerOutput {
        /** Copies the lists. */
        public Commit {
            guards = List.copyOf(guards);
            writes = List.copyOf(writes);
            removals = List.copyOf(removals);
        }
    }

    /** Reads all records of jobs, executors and waves. */
    record LoadRecords(long callId) implements SchedulerOutput {}

    /** Starts or ends the reports on executors. */
    record WatchExecutors(boolean enabled) implements SchedulerOutput {}

    /**
     * Reads an executor's lists and extends its lease.
     *
     * @param callId id of the call
     * @param executor id of the executor's life
     * @param address IP number and port
     * @param fence fence of the orders
     * @param acknowledgedSequence number of the last end that is acknowledged
     * @param leaseDeadlineMs end of the lease on the executor's clock; 0 if it is not extended
     * @param waitMs how long the executor may wait for an end
     */
    record SendHeartbeat(
            long callId,
            String executor,
            String address,
            long fence,
            long acknowledgedSequence,
            long leaseDeadlineMs,
            long waitMs)
            implements SchedulerOutput {}

    /**
     * Starts a run.
     *
     * @param callId id of the call
     * @param executor id of the executor's life
     * @param address IP number and port
     * @param fence fence of the order
     * @param task the task
     * @param run number of the run
     * @param payload what to run
     * @param checkpoint saved state to go on from; empty for none
     * @param placementToken permission to run the step there; empty if none is needed
     * @param deadlineMs until when the order is valid, on the executor's clock
     */
    record StartRun(
            long callId,
            String executor,
            String address,
            long fence,
            TaskKey task,
            int run,
            String payload,
            String checkpoint,
            String placementToken,
            long deadlineMs)
            implements SchedulerOutput {}

    /** Stops a run. */
    record StopRun(long callId, String executor, String address, long fence, TaskKey task, int run)
            implements SchedulerOutput {}

    /** Sets the part of its full speed at which a run works. */
    record ThrottleRun(
            String executor, String address, long fence, TaskKey task, int run, int speedPercent)
            implements SchedulerOutput {}

    /** Asks which of some executors may run a step. */
    record RequestAdvice(long callId, StepKey step, List<String> executors)
            implements SchedulerOutput {
        /** Copies the list. */
        public RequestAdvice {
            executors = List.copyOf(executors);
        }
    }

    /** Lists the hosts of all pools. */
    record ListHosts(long callId) implements SchedulerOutput {}

    /** Moves a host to a pool. */
    record MoveHost(long callId, String host, String pool, long fence) implements SchedulerOutput {}

    /** Begins the maintenance of a host. */
    record MaintainHost(long callId, String host, long wave, long fence)
            implements SchedulerOutput {}

    /** Tells the balancer whether to send new connections. */
    record ReportReadiness(boolean ready) implements SchedulerOutput {}

    /** Lets the process end. */
    record Terminate() implements SchedulerOutput {}

    /** Writes a line to the log. */
    record Log(String event, String line) implements SchedulerOutput {}

    /** Counts an event. */
    record Count(String counter) implements SchedulerOutput {}

    /** Adds a value to a histogram. */
    record Measure(String histogram, long value) implements SchedulerOutput {}
}
