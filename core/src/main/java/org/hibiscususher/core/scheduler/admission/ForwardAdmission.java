package org.hibiscususher.core.scheduler.admission;

import java.util.Optional;
import java.util.OptionalLong;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/** Decides whether this entry forwards a request or refuses it by itself. */
public final class ForwardAdmission {
    /** Range of the jitter that is added to the retry time, in milliseconds. */
    private static final int RETRY_JITTER_MS = 1_000;

    private ForwardAdmission() {}

    /** Returns the name of the team on whose behalf a request is forwarded; empty for none. */
    public static String teamOf(SchedulerWorld world, JobRequest request) {
        return world.configuration()
                .get()
                .configuration()
                .teamByApiKey(request.apiKey())
                .map(JobTeam::name)
                .orElse(JobTeam.ANONYMOUS);
    }

    /**
     * Returns the refusal of a request that is about to be forwarded, or empty if it may be.
     *
     * <p>Only submissions that have reached no owner are refused, so that "not run" is true: what
     * may have arrived, repeats of what this entry has under way, and what another entry has
     * admitted always pass.
     */
    public static Optional<JobResponse> findRefusal(SchedulerTick tick, PendingRequestRow pending) {
        if (!pending.isSubmission() || pending.uncertain() || pending.origin().isAdmitted()) {
            return Optional.empty();
        }
        EntrySubmission submission = EntrySubmission.of(tick.world(), pending.request());
        if (UnansweredForwards.hasPath(tick.world(), submission.path())) {
            return Optional.empty();
        }
        for (EntryRefusal refusal : EntryRefusal.values()) {
            OptionalLong afterMs = refusal.retryAfterMs(tick.world(), submission, tick.nowMs());
            if (afterMs.isPresent()) {
                long jitterMs = Math.floorMod(submission.jitterSeed(), RETRY_JITTER_MS);
                return Optional.of(
                        JobResponse.refusal(
                                JobResponseKind.OVERLOADED,
                                afterMs.getAsLong() + jitterMs,
                                refusal.reason()));
            }
        }
        return Optional.empty();
    }
}
