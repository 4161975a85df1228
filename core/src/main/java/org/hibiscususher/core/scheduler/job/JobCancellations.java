package org.hibiscususher.core.scheduler.job;

import java.util.Optional;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.CancellationRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Cancellations of jobs that the owner doesn't know.
 *
 * <p>The submission of such a job may still be under way, for instance at an entry that is
 * suspended or that waits for an owner. Once its caller has read that there is no such job, it must
 * not start any more, whoever is the owner then. So the cancellation is stored before the caller
 * gets that response.
 */
public final class JobCancellations {
    /** Most cancellations that are kept; further ones are rejected until some have expired. */
    static final int MAX_KEPT = 8_192;

    private JobCancellations() {}

    /** Returns the cancellation of a job; empty if there is none or if it has expired. */
    static Optional<CancellationRow> find(SchedulerTick tick, String id) {
        return tick.world().cancellations().find(id).filter(c -> !c.isExpired(tick.nowMs()));
    }

    /** Returns whether the store holds the cancellation of a job. */
    static boolean isStored(SchedulerTick tick, String id) {
        return find(tick, id).filter(CancellationRow::stored).isPresent();
    }

    /** Returns whether the cancellation of a job can be kept. */
    static boolean hasRoom(SchedulerWorld world, String id) {
        return world.cancellations().size() < MAX_KEPT || world.cancellations().contains(id);
    }

    /** Keeps the cancellation of a job from now on; the next commits store it. */
    static void add(SchedulerTick tick, String id) {
        SchedulerWorld world = tick.world();
        StoredRecord.Cancellation record = new StoredRecord.Cancellation(id);
        world.pendingRemovals().remove(record.name());
        world.cancellations().put(id, new CancellationRow(record, tick.nowMs(), false));
    }

    /** Keeps a cancellation that an earlier owner has stored. */
    public static void restore(SchedulerTick tick, StoredRecord.Cancellation record) {
        tick.world()
                .cancellations()
                .put(record.job(), new CancellationRow(record, tick.nowMs(), true));
    }

    /** Marks a cancellation as stored, and answers the requests that waited for that. */
    public static void markStored(SchedulerTick tick, StoredRecord.Cancellation record) {
        SchedulerWorld world = tick.world();
        world.cancellations().update(record.job(), CancellationRow::asStored);
        for (PendingRequestRow request : JobLifecycle.requestsAwaitingStore(world, record.job())) {
            world.pendingRequests().remove(request.callId());
            if (request.request().kind() == JobRequestKind.SUBMIT) {
                rejectSubmission(tick, request);
            } else {
                JobResponse unknown = JobResponse.of(JobResponseKind.NO_JOB);
                tick.emit(request.respond(unknown));
            }
        }
    }

    /** Rejects the submission of a job whose cancellation is stored; repeating it is no use. */
    static void rejectSubmission(SchedulerTick tick, PendingRequestRow request) {
        JobRequestRejection.reject(tick, request, JobResponseKind.NO_JOB, "cancelled-before", 0);
    }

    /** Requests the removal of the stored cancellations that have expired. */
    static void removeExpired(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (CancellationRow row : world.cancellations().rows()) {
            RecordName name = row.record().name();
            if (!row.stored() || !row.isExpired(tick.nowMs())) {
                continue;
            }
            if (world.revisions().contains(name)) {
                world.pendingRemovals().put(name, name);
            } else {
                world.cancellations().remove(row.id());
            }
        }
    }
}
