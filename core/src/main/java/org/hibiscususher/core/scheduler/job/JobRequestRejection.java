package org.hibiscususher.core.scheduler.job;

import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/** Refuses requests about jobs. */
final class JobRequestRejection {
    /** When a rejected caller should try again, in milliseconds. */
    private static final long RETRY_AFTER_MS = 1_000;

    private JobRequestRejection() {}

    /** Refuses a request, to be tried again after the usual time. */
    static void reject(
            SchedulerTick tick, PendingRequestRow pending, JobResponseKind kind, String reason) {
        reject(tick, pending, kind, reason, RETRY_AFTER_MS);
    }

    /** Refuses a request; one that may have taken effect gets the answer that this is unknown. */
    static void reject(
            SchedulerTick tick,
            PendingRequestRow pending,
            JobResponseKind refusal,
            String reason,
            long retryAfterMs) {
        boolean unknown = pending.uncertain() && refusal.deniesEffect();
        JobResponseKind kind = unknown ? JobResponseKind.UNKNOWN : refusal;
        tick.log(
                "refused",
                "call="
                        + pending.request().path()
                        + " kind="
                        + kind
                        + " reason="
                        + reason
                        + " plan="
                        + tick.world().configuration().get().configuration().version()
                        + " retry_after_ms="
                        + retryAfterMs);
        tick.count("refused." + reason);
        tick.emit(pending.respond(JobResponse.refusal(kind, retryAfterMs, reason)));
    }
}
