package org.hibiscususher.core.scheduler.message;

import java.util.List;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;

/**
 * An action that the scheduler requests. The process around it carries it out and reports the
 * result as a {@link SchedulerInput}.
 */
public sealed interface SchedulerOutput {
    /**
     * Responds to a request.
     *
     * @param callId id of the request
     * @param response response to return to the caller or the forwarding entry
     */
    record Respond(long callId, JobResponse response) implements SchedulerOutput {}

    /**
     * Forwards a caller's request to the owner, or to an entry that may know it. The outcome comes
     * as {@link SchedulerInput.ForwardAnswered} or {@link SchedulerInput.ForwardFailed}.
     *
     * @param callId id of the request, for the response
     * @param address IP number and port of the entry
     * @param request request, with its hop already counted
     */
    record Forward(long callId, String address, JobRequest request) implements SchedulerOutput {}

    /**
     * Asks the owner of the previous term to send no more orders.
     *
     * @param address IP number and port of that owner
     * @param generation generation of the new term
     */
    record AskRelinquish(String address, long generation) implements SchedulerOutput {}

    /**
     * Offers the ownership to an entry that may reach the store.
     *
     * @param address IP number and port of the entry
     * @param generation generation of the term on offer
     */
    record OfferHandover(String address, long generation) implements SchedulerOutput {}

    /**
     * Requests a lease from the store.
     *
     * @param callId id of the call
     * @param ttlMs duration of the lease, in milliseconds
     */
    record GrantLease(long callId, long ttlMs) implements SchedulerOutput {}

    /**
     * Renews a lease of the store.
     *
     * @param callId id of the call
     * @param leaseId id of the lease
     */
    record RenewLease(long callId, long leaseId) implements SchedulerOutput {}

    /**
     * Writes and removes records atomically if all guards hold.
     *
     * @param callId id of the call
     * @param guards revisions that records must have
     * @param writes records to write
     * @param removals names of the records to remove
     * @param timeoutMs how long to wait for an answer, in milliseconds
     */
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

    /**
     * Reads all records of the scheduler.
     *
     * @param callId id of the call
     */
    record LoadRecords(long callId) implements SchedulerOutput {}

    /**
     * Starts or stops watching the executors' reports in the store.
     *
     * @param enabled whether to watch them
     */
    record WatchExecutors(boolean enabled) implements SchedulerOutput {}

    /**
     * Reads an executor's lists of runs and renews its lease.
     *
     * @param callId id of the call
     * @param executor executor id; a later incarnation with another id rejects the call
     * @param address IP number and port of the executor
     * @param fence fence of this owner
     * @param acknowledgedSequence highest sequence number of a finished run that is acknowledged
     * @param leaseDeadlineMs when the renewed lease expires, on the executor's clock in
     *     milliseconds; 0 if the lease is not renewed
     * @param waitMs how long the executor may delay its answer until a run finishes, in
     *     milliseconds
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
     * Orders an executor to start a run.
     *
     * @param callId id of the call
     * @param executor executor id; a later incarnation with another id rejects the order
     * @param address IP number and port of the executor
     * @param fence fence of this owner
     * @param task task that the run executes
     * @param run number of the run
     * @param payload what to run, as the caller wrote it
     * @param checkpoint saved state from which to continue; empty for none
     * @param placementToken token that allows the step to run there; empty if none is needed
     * @param deadlineMs until when the executor may carry out the order, on its own clock in
     *     milliseconds
     * @param validity until when the order may be sent
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
            long deadlineMs,
            OrderValidity validity)
            implements SchedulerOutput {}

    /**
     * Orders an executor to stop a run.
     *
     * @param callId id of the call
     * @param executor executor id; a later incarnation with another id rejects the order
     * @param address IP number and port of the executor
     * @param fence fence of this owner
     * @param task task that the run executes
     * @param run number of the run
     */
    record StopRun(long callId, String executor, String address, long fence, TaskKey task, int run)
            implements SchedulerOutput {}

    /**
     * Orders an executor to limit the speed of a run. The order needs no answer: the next lists
     * show its effect.
     *
     * @param executor executor id; a later incarnation with another id rejects the order
     * @param address IP number and port of the executor
     * @param fence fence of this owner
     * @param task task that the run executes
     * @param run number of the run
     * @param speedPercent part of its full speed at which the run may work
     */
    record ThrottleRun(
            String executor, String address, long fence, TaskKey task, int run, int speedPercent)
            implements SchedulerOutput {}

    /**
     * Asks the external service which executors may run a step.
     *
     * @param callId id of the call
     * @param step step to be placed
     * @param executors ids of the executors in question
     */
    record RequestAdvice(long callId, StepKey step, List<String> executors)
            implements SchedulerOutput {
        /** Copies the list. */
        public RequestAdvice {
            executors = List.copyOf(executors);
        }
    }

    /**
     * Lists the hosts of all pools.
     *
     * @param callId id of the call
     */
    record ListHosts(long callId) implements SchedulerOutput {}

    /**
     * Orders the platform to move a host to another pool.
     *
     * @param callId id of the call
     * @param host host id
     * @param pool destination
     * @param fence fence of this owner
     * @param validity until when the order may be sent
     */
    record MoveHost(long callId, String host, String pool, long fence, OrderValidity validity)
            implements SchedulerOutput {}

    /**
     * Orders the platform to start the maintenance of a host.
     *
     * @param callId id of the call
     * @param host host id
     * @param wave number of the wave that the host belongs to
     * @param fence fence of this owner
     * @param validity until when the order may be sent
     */
    record MaintainHost(long callId, String host, long wave, long fence, OrderValidity validity)
            implements SchedulerOutput {}

    /**
     * Tells the load balancer whether to send new connections.
     *
     * @param ready whether to send them
     */
    record ReportReadiness(boolean ready) implements SchedulerOutput {}

    /**
     * Stops accepting connections of callers, and closes each open one as soon as its requests are
     * answered. {@link SchedulerInput.ConnectionsDrained} reports the end.
     */
    record DrainConnections() implements SchedulerOutput {}

    /** Ends the process. */
    record Terminate() implements SchedulerOutput {}

    /**
     * Writes a structured log line.
     *
     * @param event name of the event
     * @param line the line's {@code key=value} pairs, separated by spaces
     */
    record Log(String event, String line) implements SchedulerOutput {}

    /**
     * Increments a counter.
     *
     * @param counter name of the counter
     */
    record Count(String counter) implements SchedulerOutput {}

    /**
     * Adds a value to a histogram.
     *
     * @param histogram name of the histogram
     * @param value value to add, in the unit of the histogram
     */
    record Measure(String histogram, long value) implements SchedulerOutput {}
}
